package org.rowanvalve.data.origin;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.config.Origin;

/** Origins that answer every request. */
public record AnsweringOrigins(EventLoop loop, List<OriginTransport.OutboundRequest> sent) implements OriginTransport {
    @Override
    public Exchange send(
            final Origin origin,
            final OutboundRequest request,
            final Permission permission,
            final Consumer<OriginResponse> callback) {
        sent.add(request);
        loop.execute(() -> callback.accept(new OriginResponse(
                ExchangeResult.COMPLETE, 200, Map.of("connection", "close", "x", "y"), "abcd".getBytes(), "")));
        return () -> {};
    }

    @Override
    public String error(final Origin origin, final OutboundRequest request, final OriginResponse response) {
        return "";
    }
}

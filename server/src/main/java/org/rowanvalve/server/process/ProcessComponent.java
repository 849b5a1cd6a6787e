package org.rowanvalve.server.process;

import dagger.Component;
import javax.inject.Singleton;
import org.eclipse.jetty.client.HttpClient;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.data.node.Node;
import org.rowanvalve.server.net.TcpTransport;
import org.rowanvalve.server.thread.CoreEventLoop;

/** The objects of one process, put together by Dagger. */
@Singleton
@Component(modules = ProcessModule.class)
public interface ProcessComponent {
    CoreEventLoop loop();

    EventJournal journal();

    TcpTransport net();

    StableStorage disk();

    HttpClient client();

    Node node();
}

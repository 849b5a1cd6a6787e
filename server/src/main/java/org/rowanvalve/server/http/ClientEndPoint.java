package org.rowanvalve.server.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadPendingException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A client's connection that tells when the client closes it while a request is handled. Jetty's HTTP/1.1 connection reads
 * nothing between a request and its response, so it learns of the end of the stream, or of a reset, only afterwards.
 * While a listener is set, this end point reads ahead instead. Bytes of a next request that arrive meanwhile are kept and
 * given to the HTTP connection when it reads again; they are no sign that the client has left. Thread-safe.
 *
 * <p>A client that ends only its sending side cannot be told from one that has closed the connection, and counts as
 * closed: HTTP/1.1 gives no meaning to a half-closed connection, and a response is still written to it.
 *
 * <p>A connection is ended by this node only while nothing is on it: {@link #fill} and {@link #endUnlessActive} are
 * transitions of one atomic state, so a connection that is being ended is not read from, and one that is being read from
 * is not ended.
 */
public final class ClientEndPoint extends SocketChannelEndPoint {
    /** Bytes of later requests that are kept; beyond them a close is seen only after the response. */
    private static final int READ_AHEAD_BYTES = 1024;

    private final Executor executor;
    private final ClientConnections connections;
    private final AtomicReference<ConnectionState> state = new AtomicReference<>(ConnectionState.RESTING);
    private volatile KeepAlive keepAlive = KeepAlive.UNUSED;
    private final Callback readAheadCallback = new ReadAheadCallback();
    private ByteBuffer readAhead = BufferUtil.EMPTY_BUFFER;
    private Runnable closeListener;
    /** The read-ahead callback is registered as the fill interest. */
    private boolean reading;
    /** The HTTP connection's fill interest, while the read-ahead callback stands in for it. */
    private Callback httpConnection;

    ClientEndPoint(
            final SocketChannel channel,
            final ManagedSelector selector,
            final SelectionKey key,
            final Scheduler scheduler,
            final Executor executor,
            final ClientConnections connections) {
        super(channel, selector, key, scheduler);
        this.executor = executor;
        this.connections = connections;
    }

    private final class ReadAheadCallback implements Callback {
        @Override
        public void succeeded() {
            onReadable();
        }

        @Override
        public void failed(final Throwable failure) {
            onReadFailed(failure);
        }

        @Override
        public InvocationType getInvocationType() {
            return currentInvocationType();
        }
    }

    /**
     * Calls {@code listener} once, in any thread, if the client of this request closes its connection before {@link
     * #ignoreClose}. It is called at once where the client has left already. The request must have been read whole.
     */
    public static void onClose(final Request request, final Runnable listener) {
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof ClientEndPoint endPoint) {
            endPoint.setCloseListener(listener);
        }
    }

    /**
     * Calls the listener as {@link #onClose} does if the connection has ended: reads at once what there is, which tells
     * whether the client has left. After a close by this node, too, no response can be returned.
     */
    public static void checkClose(final Request request) {
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof ClientEndPoint endPoint) {
            endPoint.checkClose();
        }
    }

    /** The response of this request is about to be written: whether its client leaves is of no more interest. */
    public static void ignoreClose(final Request request) {
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof ClientEndPoint endPoint) {
            endPoint.removeCloseListener();
        }
    }

    /** Tells the client in this response how long its connection may rest, if places for connections are short. */
    public static void announceKeepAlive(final Request request, final Response response) {
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof ClientEndPoint endPoint) {
            endPoint.announceKeepAlive(response);
        }
    }

    private void announceKeepAlive(final Response response) {
        keepAlive = connections.keepAlive();
        keepAlive.addTo(response);
    }

    /** How long the last response allowed this connection to rest. */
    KeepAlive keepAlive() {
        return keepAlive;
    }

    boolean isFinished() {
        return state.get() == ConnectionState.FINISHED;
    }

    /** Whether a request has been read whole and its response is not about to be written yet. */
    synchronized boolean hasOpenRequest() {
        return closeListener != null;
    }

    /** Closes the connection unless a request, or part of one, is on it. Returns whether this call closed it. */
    boolean endUnlessActive() {
        final boolean ends = state.compareAndSet(ConnectionState.RESTING, ConnectionState.ENDED)
                || state.compareAndSet(ConnectionState.FINISHED, ConnectionState.ENDED);
        if (ends) {
            close();
        }
        return ends;
    }

    /** Returns false if this node is ending the connection, so that nothing may be read from it. */
    private boolean beginReading() {
        if (state.compareAndSet(ConnectionState.RESTING, ConnectionState.ACTIVE)) {
            connections.onActive(this);
        }
        return state.get() != ConnectionState.ENDED;
    }

    /** Called by the thread that reads from the connection, before it waits for more bytes. */
    private void endReading() {
        if (state.get() != ConnectionState.ACTIVE || hasReadAhead()) {
            return;
        }
        if (getConnection() instanceof HttpConnection http && http.isRequestBufferEmpty()) {
            if (http.getParser().isStart()) {
                rest(ConnectionState.RESTING);
            } else if (http.getParser().isClose() || http.getParser().isClosed()) {
                rest(ConnectionState.FINISHED);
            }
        }
    }

    private void rest(final ConnectionState next) {
        connections.onIdle(this);
        state.set(next);
    }

    private synchronized boolean hasReadAhead() {
        return BufferUtil.hasContent(readAhead);
    }

    /** The connections' own bound ends a connection that rests. */
    @Override
    protected void onIdleExpired(final TimeoutException timeout) {
        if (state.get() == ConnectionState.ACTIVE) {
            super.onIdleExpired(timeout);
        }
    }

    private void setCloseListener(final Runnable listener) {
        synchronized (this) {
            closeListener = listener;
        }
        readAhead();
    }

    private synchronized void removeCloseListener() {
        closeListener = null;
    }

    private void onReadable() {
        final Callback waiting;
        synchronized (this) {
            reading = false;
            waiting = httpConnection;
            httpConnection = null;
        }
        if (waiting != null) {
            waiting.succeeded();
        } else {
            readAhead();
        }
    }

    private void onReadFailed(final Throwable failure) {
        final Callback waiting;
        synchronized (this) {
            reading = false;
            waiting = httpConnection;
            httpConnection = null;
        }
        if (waiting != null) {
            waiting.failed(failure);
        }
    }

    private synchronized Callback.InvocationType currentInvocationType() {
        return httpConnection == null ? Callback.InvocationType.NON_BLOCKING : httpConnection.getInvocationType();
    }

    private void checkClose() {
        final Runnable listener;
        synchronized (this) {
            if (closeListener == null || isOpen() && !readOnce()) {
                return;
            }
            listener = takeListenerIf(isInputShutdown() || !isOpen());
        }
        if (listener != null) {
            listener.run();
        }
    }

    /** Reads what there is, while anybody wants to know of a close, and waits for more. */
    private void readAhead() {
        final Runnable listener;
        synchronized (this) {
            if (closeListener == null || reading || !readOnce()) {
                return;
            }
            listener = takeListenerIf(isInputShutdown() && isOpen());
            if (listener == null) {
                reading = super.tryFillInterested(readAheadCallback);
                return;
            }
        }
        listener.run();
    }

    /** Returns null if the connection has not ended. */
    private Runnable takeListenerIf(final boolean ended) {
        final Runnable listener = ended ? closeListener : null;
        closeListener = listener == null ? closeListener : null;
        return listener;
    }

    /** False where there is no room to read into. */
    private boolean readOnce() {
        if (readAhead == BufferUtil.EMPTY_BUFFER) {
            readAhead = BufferUtil.allocate(READ_AHEAD_BYTES);
        }
        if (BufferUtil.space(readAhead) == 0) {
            return false;
        }
        try {
            super.fill(readAhead);
            return true;
        } catch (final IOException e) {
            return false;
        }
    }

    @Override
    public int fill(final ByteBuffer buffer) throws IOException {
        if (!beginReading()) {
            return -1;
        }
        synchronized (this) {
            if (BufferUtil.hasContent(readAhead)) {
                final int position = BufferUtil.flipToFill(buffer);
                final int count = BufferUtil.put(readAhead, buffer);
                BufferUtil.flipToFlush(buffer, position);
                if (BufferUtil.isEmpty(readAhead)) {
                    BufferUtil.clear(readAhead);
                }
                return count;
            }
        }
        return super.fill(buffer);
    }

    @Override
    public void fillInterested(final Callback callback) {
        if (!tryFillInterested(callback)) {
            throw new ReadPendingException();
        }
    }

    @Override
    public boolean tryFillInterested(final Callback callback) {
        endReading();
        synchronized (this) {
            if (!BufferUtil.hasContent(readAhead)) {
                if (!reading) {
                    return super.tryFillInterested(callback);
                }
                if (httpConnection != null) {
                    return false;
                }
                httpConnection = callback;
                return true;
            }
        }
        executor.execute(callback::succeeded);
        return true;
    }

    @Override
    public synchronized boolean isFillInterested() {
        return reading ? httpConnection != null : super.isFillInterested();
    }
}

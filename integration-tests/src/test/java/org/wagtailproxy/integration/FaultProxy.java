package org.wagtailproxy.integration;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** TCP proxy that injects faults into connections, for all sources or by source host. */
final class FaultProxy implements Closeable {

    /** Determines what happens to connections and their bytes. */
    enum Fault {
        /** All bytes are forwarded. */
        NONE,
        /** Open connections are closed, new ones are reset after they were accepted. */
        CUT,
        /** Connections stay open, but bytes are discarded in both directions. */
        FREEZE,
        /** Requests are forwarded, answers are discarded. */
        FREEZE_ANSWERS,
        /** Bytes on connections that are open now are discarded for good; new ones work. */
        FREEZE_OPEN,
        /** Requests are forwarded; the connection is closed in the middle of the answer. */
        TRUNCATE_ANSWERS
    }

    private static final int BUFFER_BYTES = 16_384;
    private static final int TRUNCATED_BYTES = 40;

    private final ServerSocket mServerSocket;
    private final InetSocketAddress mTarget;
    private final Map<String, Fault> mFaultsBySource = new ConcurrentHashMap<>();
    private final Set<ProxiedConnection> mConnections = ConcurrentHashMap.newKeySet();
    private volatile Fault mDefaultFault = Fault.NONE;
    private volatile long mAnswerDelayMilliseconds;

    FaultProxy(String host, int port, String targetHost, int targetPort) throws IOException {
        mTarget = new InetSocketAddress(targetHost, targetPort);
        mServerSocket = new ServerSocket();
        mServerSocket.setReuseAddress(true);
        mServerSocket.bind(new InetSocketAddress(host, port), 512);
        startThread(this::acceptConnections);
    }

    /** Sets the fault for all source hosts that have no fault of their own. */
    void setFault(Fault fault) {
        mDefaultFault = fault;
        applyToOpenConnections(fault, mConnections);
    }

    /** Sets the fault for one source host. */
    void setFault(String sourceHost, Fault fault) {
        mFaultsBySource.put(sourceHost, fault);
        applyToOpenConnections(
                fault,
                mConnections.stream()
                        .filter(connection -> connection.mSource.equals(sourceHost))
                        .toList());
    }

    /** Sets the delay of each block of answer bytes. */
    void setAnswerDelay(long milliseconds) {
        mAnswerDelayMilliseconds = milliseconds;
    }

    @Override
    public void close() throws IOException {
        mServerSocket.close();
        mConnections.forEach(ProxiedConnection::close);
    }

    private void applyToOpenConnections(Fault fault, Iterable<ProxiedConnection> connections) {
        for (ProxiedConnection connection : connections) {
            if (fault == Fault.CUT) {
                connection.close();
            } else if (fault == Fault.FREEZE_OPEN) {
                connection.mDiscarding = true;
            }
        }
    }

    private Fault faultOf(String sourceHost) {
        return mFaultsBySource.getOrDefault(sourceHost, mDefaultFault);
    }

    private void acceptConnections() {
        while (!mServerSocket.isClosed()) {
            try {
                Socket socket = mServerSocket.accept();
                startThread(() -> forward(socket));
            } catch (IOException connectionClosed) {
                return;
            }
        }
    }

    private void forward(Socket callerSocket) {
        String sourceHost =
                ((InetSocketAddress) callerSocket.getRemoteSocketAddress()).getHostString();
        ProxiedConnection connection = new ProxiedConnection(sourceHost, callerSocket);
        try {
            if (faultOf(sourceHost) == Fault.CUT) {
                callerSocket.setSoLinger(true, 0);
                callerSocket.close();
                return;
            }
            connection.mTarget.bind(new InetSocketAddress(InetAddress.getByName(sourceHost), 0));
            connection.mTarget.connect(mTarget, 1000);
            callerSocket.setTcpNoDelay(true);
            connection.mTarget.setTcpNoDelay(true);
            mConnections.add(connection);
            startThread(() -> copyBytes(connection, callerSocket, connection.mTarget, false));
            copyBytes(connection, connection.mTarget, callerSocket, true);
        } catch (IOException notForwarded) {
            try {
                callerSocket.setSoLinger(true, 0);
            } catch (IOException connectionClosed) {
                // The caller has closed its connection already.
            }
            connection.close();
        } finally {
            mConnections.remove(connection);
        }
    }

    private void copyBytes(
            ProxiedConnection connection,
            Socket source,
            Socket destination,
            boolean answerDirection) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = source.getInputStream();
            OutputStream out = destination.getOutputStream();
            while (true) {
                int count = in.read(buffer);
                if (count < 0) {
                    break;
                }
                if (!delayAndCheckForwarding(connection, answerDirection)) {
                    continue;
                }
                if (answerDirection && faultOf(connection.mSource) == Fault.TRUNCATE_ANSWERS) {
                    out.write(buffer, 0, Math.min(count, TRUNCATED_BYTES));
                    break;
                }
                out.write(buffer, 0, count);
            }
        } catch (IOException connectionClosed) {
            // One side has closed its connection; the other side is closed below.
        }
        connection.close();
    }

    /**
     * Delays answers, then returns whether the bytes are forwarded. A connection that discarded
     * bytes once discards all later bytes too.
     */
    private boolean delayAndCheckForwarding(ProxiedConnection connection, boolean answerDirection)
            throws IOException {
        if (answerDirection && mAnswerDelayMilliseconds > 0) {
            sleep(mAnswerDelayMilliseconds);
        }
        Fault fault = faultOf(connection.mSource);
        if (fault == Fault.FREEZE || (fault == Fault.FREEZE_ANSWERS && answerDirection)) {
            connection.mDiscarding = true;
        }
        return !connection.mDiscarding;
    }

    private static void sleep(long milliseconds) throws IOException {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            throw new IOException(interrupted);
        }
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action, "fault-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    /** Represents a connection with its sockets on both sides of the proxy. */
    private static final class ProxiedConnection {
        private final String mSource;
        private final Socket mCaller;
        private final Socket mTarget = new Socket();
        private volatile boolean mDiscarding;

        private ProxiedConnection(String sourceHost, Socket callerSocket) {
            mSource = sourceHost;
            mCaller = callerSocket;
        }

        private void close() {
            try {
                mCaller.close();
                mTarget.close();
            } catch (IOException connectionClosed) {
                // The connection is closed already.
            }
        }
    }
}

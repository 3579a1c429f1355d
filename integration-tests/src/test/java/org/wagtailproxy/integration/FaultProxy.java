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

/** Passes TCP connections on and, on demand, spoils them; rules may differ by the source host. */
final class FaultProxy implements Closeable {

    /** What is done to the bytes of a connection. */
    enum Fault {
        /** Everything passes. */
        NONE,
        /** New connections are refused by closing them, open ones are closed. */
        CUT,
        /** Connections stay open, but nothing passes either way. */
        FREEZE,
        /** Requests pass, answers do not. */
        FREEZE_ANSWERS,
        /** Connections that are open now stay silent for good, new ones pass. */
        FREEZE_OPEN,
        /** Requests pass, and the connection is closed in the middle of the answer. */
        TRUNCATE_ANSWERS
    }

    private static final int BUFFER_BYTES = 16_384;
    private static final int TRUNCATED_BYTES = 40;

    private final ServerSocket mListening;
    private final InetSocketAddress mTarget;
    private final Map<String, Fault> mFaults = new ConcurrentHashMap<>();
    private final Set<Link> mLinks = ConcurrentHashMap.newKeySet();
    private volatile Fault mDefault = Fault.NONE;
    private volatile long mDelayMilliseconds;

    FaultProxy(String host, int port, String targetHost, int targetPort) throws IOException {
        mTarget = new InetSocketAddress(targetHost, targetPort);
        mListening = new ServerSocket();
        mListening.setReuseAddress(true);
        mListening.bind(new InetSocketAddress(host, port), 512);
        start(this::accept);
    }

    /** Sets the fault for every source that has no rule of its own. */
    void fault(Fault fault) {
        mDefault = fault;
        apply(fault, mLinks);
    }

    /** Sets the fault for one source host. */
    void fault(String source, Fault fault) {
        mFaults.put(source, fault);
        apply(fault, mLinks.stream().filter(link -> link.mSource.equals(source)).toList());
    }

    /** Delays answers from now on. */
    void delay(long milliseconds) {
        mDelayMilliseconds = milliseconds;
    }

    @Override
    public void close() throws IOException {
        mListening.close();
        mLinks.forEach(Link::close);
    }

    private void apply(Fault fault, Iterable<Link> links) {
        for (Link link : links) {
            if (fault == Fault.CUT) {
                link.close();
            } else if (fault == Fault.FREEZE_OPEN) {
                link.mSilent = true;
            }
        }
    }

    private Fault faultOf(String source) {
        return mFaults.getOrDefault(source, mDefault);
    }

    private void accept() {
        while (!mListening.isClosed()) {
            try {
                Socket socket = mListening.accept();
                start(() -> open(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void open(Socket caller) {
        String source = ((InetSocketAddress) caller.getRemoteSocketAddress()).getHostString();
        Link link = new Link(source, caller);
        try {
            if (faultOf(source) == Fault.CUT) {
                caller.setSoLinger(true, 0);
                caller.close();
                return;
            }
            link.mTarget.bind(new InetSocketAddress(InetAddress.getByName(source), 0));
            link.mTarget.connect(mTarget, 1000);
            caller.setTcpNoDelay(true);
            link.mTarget.setTcpNoDelay(true);
            mLinks.add(link);
            start(() -> pump(link, caller, link.mTarget, false));
            pump(link, link.mTarget, caller, true);
        } catch (IOException refused) {
            try {
                caller.setSoLinger(true, 0);
            } catch (IOException closed) {
                // The caller is gone already.
            }
            link.close();
        } finally {
            mLinks.remove(link);
        }
    }

    private void pump(Link link, Socket from, Socket to, boolean answers) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int count = in.read(buffer);
                if (count < 0) {
                    break;
                }
                if (!pass(link, answers)) {
                    continue;
                }
                if (answers && faultOf(link.mSource) == Fault.TRUNCATE_ANSWERS) {
                    out.write(buffer, 0, Math.min(count, TRUNCATED_BYTES));
                    break;
                }
                out.write(buffer, 0, count);
            }
        } catch (IOException closed) {
            // Either end is gone; the other one is closed below.
        }
        link.close();
    }

    /** Tells whether bytes pass; bytes that do not pass are swallowed. */
    private boolean pass(Link link, boolean answers) throws IOException {
        if (answers && mDelayMilliseconds > 0) {
            sleep(mDelayMilliseconds);
        }
        Fault fault = faultOf(link.mSource);
        if (fault == Fault.FREEZE || (fault == Fault.FREEZE_ANSWERS && answers)) {
            link.mSilent = true;
        }
        return !link.mSilent;
    }

    private static void sleep(long milliseconds) throws IOException {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            throw new IOException(interrupted);
        }
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(action, "fault-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    /** One connection on both sides of the proxy. */
    private static final class Link {
        private final String mSource;
        private final Socket mCaller;
        private final Socket mTarget = new Socket();
        private volatile boolean mSilent;

        private Link(String source, Socket caller) {
            mSource = source;
            mCaller = caller;
        }

        private void close() {
            try {
                mCaller.close();
                mTarget.close();
            } catch (IOException closed) {
                // Nothing is left to close.
            }
        }
    }
}

package org.wagtailproxy.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailproxy.identity.HostAddress;

/** Relays connections to the store. Open ones can be silenced for good; new ones then work. */
final class StoreRelay implements AutoCloseable {

    private final HostAddress mTarget;
    private final ServerSocket mListener;
    private final Set<Link> mLinks = ConcurrentHashMap.newKeySet();

    StoreRelay(HostAddress address, HostAddress target) throws IOException {
        mTarget = target;
        mListener = new ServerSocket(address.port(), 64, InetAddress.getByName(address.host()));
        startThread(this::accept);
    }

    /** Lets nothing pass any more on the connections that are open now, and closes none. */
    void silenceOpenConnections() {
        mLinks.forEach(link -> link.mSilent = true);
    }

    private void accept() throws IOException {
        while (true) {
            Socket client = mListener.accept();
            Socket store = new Socket(mTarget.host(), mTarget.port());
            client.setTcpNoDelay(true);
            store.setTcpNoDelay(true);
            Link link = new Link(client, store);
            mLinks.add(link);
            startThread(() -> link.pass(client, store));
            startThread(() -> link.pass(store, client));
        }
    }

    /** A relayed connection. */
    private final class Link {
        private final Socket mClient;
        private final Socket mStore;
        private volatile boolean mSilent;

        private Link(Socket client, Socket store) {
            mClient = client;
            mStore = store;
        }

        private void pass(Socket from, Socket to) throws IOException {
            byte[] bytes = new byte[16_384];
            InputStream input = from.getInputStream();
            for (int count = input.read(bytes); count >= 0; count = input.read(bytes)) {
                if (!mSilent) {
                    to.getOutputStream().write(bytes, 0, count);
                }
            }
            if (!mSilent) {
                close();
            }
        }

        private void close() throws IOException {
            mLinks.remove(this);
            mClient.close();
            mStore.close();
        }
    }

    /** An action that ends with its connection. */
    private interface Action {
        void run() throws IOException;
    }

    private static void startThread(Action action) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                action.run();
                            } catch (IOException closed) {
                                // The connection or the relay has ended.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        for (Link link : mLinks) {
            link.close();
        }
    }
}

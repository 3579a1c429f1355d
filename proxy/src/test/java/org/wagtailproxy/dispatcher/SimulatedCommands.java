package org.wagtailproxy.dispatcher;

import java.util.Map;
import java.util.function.Consumer;
import org.wagtailproxy.fleet.PollResult;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.fleet.ServerId;
import org.wagtailproxy.fleet.StartAnswer;
import org.wagtailproxy.fleet.StartResult;
import org.wagtailproxy.fleet.StopResult;

/**
 * The commands of one process to backend servers. Commands and answers are lost, overtake each
 * other, or are carried out late, after a cut for example, but only in the same life of the server.
 */
final class SimulatedCommands implements CommandTransport {

    private static final int MAX_LATE_MILLIS = 4000;

    private final VirtualTime mTime;
    private final SimulatedNetwork mNetwork;
    private final SimulatedProcess mProcess;
    private final Map<ServerId, SimulatedServer> mServers;

    SimulatedCommands(
            VirtualTime time,
            SimulatedNetwork network,
            SimulatedProcess process,
            Map<ServerId, SimulatedServer> servers) {
        mTime = time;
        mNetwork = network;
        mProcess = process;
        mServers = servers;
    }

    /** A command on its way to a server. */
    private interface Delivery<T> {
        void deliver(SimulatedServer server, Consumer<T> answer);
    }

    /** Passes on the first result of a call. */
    private static final class Once<T> implements Consumer<T> {
        private final Consumer<T> mCallback;
        private boolean mFinished;

        private Once(Consumer<T> callback) {
            mCallback = callback;
        }

        @Override
        public void accept(T result) {
            if (!mFinished) {
                mFinished = true;
                mCallback.accept(result);
            }
        }
    }

    @Override
    public void start(
            ServerCommand.Start command, long timeoutMillis, Consumer<StartAnswer> answer) {
        send(
                command,
                timeoutMillis,
                CommandDisruptions.Kind.ORDER,
                (server, reply) -> server.receiveStart(command, mProcess.mHost.name(), reply),
                new Once<>(answer),
                StartAnswer.of(StartResult.UNANSWERED),
                StartAnswer.of(StartResult.NOT_SENT));
    }

    @Override
    public void stop(ServerCommand.Stop command, long timeoutMillis, Consumer<StopResult> answer) {
        send(
                command,
                timeoutMillis,
                CommandDisruptions.Kind.ORDER,
                (server, reply) -> server.receiveStop(command, reply),
                new Once<>(answer),
                StopResult.UNANSWERED,
                StopResult.UNANSWERED);
    }

    @Override
    public void poll(ServerCommand.Poll command, long timeoutMillis, Consumer<PollResult> answer) {
        send(
                command,
                timeoutMillis,
                CommandDisruptions.Kind.GRANT,
                (server, reply) -> server.receivePoll(command, reply),
                new Once<>(answer),
                PollResult.of(PollResult.Kind.UNANSWERED),
                PollResult.of(PollResult.Kind.NOT_SENT));
    }

    private <T> void send(
            ServerCommand command,
            long timeoutMillis,
            CommandDisruptions.Kind kind,
            Delivery<T> delivery,
            Once<T> callback,
            T unanswered,
            T notSent) {
        mProcess.schedule(
                timeoutMillis, () -> mProcess.schedule(0, () -> callback.accept(unanswered)));
        SimulatedServer server = mServers.get(command.target().server());
        int life = server.mLife;
        CommandDisruptions.Fate fate = mNetwork.mCommandDisruptions.draw(mProcess, server, kind);
        long sentNanos = mTime.nowNanos();
        Once<T> heard =
                new Once<>(
                        result -> {
                            if (!mNetwork.mCommandDisruptions.isSilentSince(
                                    mProcess, server, sentNanos)) {
                                callback.accept(result);
                            }
                        });
        mTime.afterNanos(
                mNetwork.latencyNanos(),
                () -> {
                    switch (fate) {
                        case LOST -> mTime.note("a command to " + server.mId + " is lost");
                        case DONE_UNANSWERED -> deliverUnanswered(server, life, delivery);
                        case LATE ->
                                mTime.after(
                                        mNetwork.mCommandDisruptions.drawLateMillis(),
                                        () -> deliverUnanswered(server, life, delivery));
                        default -> arrive(server, life, delivery, heard, notSent);
                    }
                });
    }

    private static <T> void deliverUnanswered(
            SimulatedServer server, int life, Delivery<T> delivery) {
        if (server.mUp && server.mLife == life) {
            delivery.deliver(server, answer -> {});
        }
    }

    private <T> void arrive(
            SimulatedServer server, int life, Delivery<T> delivery, Once<T> callback, T notSent) {
        if (mNetwork.isRefused(mProcess.mHost, server.mHost)) {
            mTime.afterNanos(
                    mNetwork.latencyNanos(),
                    () -> mProcess.execute(() -> callback.accept(notSent)));
            return;
        }
        if (mNetwork.isCut(mProcess.mHost, server.mHost) || mTime.chance(0.001)) {
            if (mTime.chance(0.5)) {
                mTime.after(
                        mTime.between(20, MAX_LATE_MILLIS),
                        () -> deliverUnanswered(server, life, delivery));
            }
            return;
        }
        if (!server.mUp) {
            mTime.afterNanos(
                    mNetwork.latencyNanos(),
                    () -> mProcess.execute(() -> callback.accept(notSent)));
            return;
        }
        if (server.mLife == life) {
            delivery.deliver(server, result -> answer(server, callback, result));
        }
    }

    private <T> void answer(SimulatedServer server, Once<T> callback, T result) {
        if (mTime.chance(0.001)) {
            return;
        }
        mTime.afterNanos(
                mNetwork.latencyNanos(),
                () -> {
                    if (!mNetwork.isCut(server.mHost, mProcess.mHost)) {
                        mProcess.execute(() -> callback.accept(result));
                    }
                });
    }
}

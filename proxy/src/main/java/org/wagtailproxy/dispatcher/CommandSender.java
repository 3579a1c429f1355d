package org.wagtailproxy.dispatcher;

import java.util.function.LongSupplier;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.scheduling.ServiceScheduler;

/**
 * Sends the commands of schedulers to backend servers and returns the results to the schedulers.
 * Confined to the event loop.
 */
final class CommandSender {

    /** Timeout of a command; a healthy server answers in a few milliseconds. */
    private static final long COMMAND_TIMEOUT_MILLIS = 120;

    private final CommandTransport mTransport;
    private final DecisionLog mLog;
    private final LongSupplier mClock;
    private final Runnable mSendFollowUps;

    /**
     * Creates a sender.
     *
     * @param clock returns the monotonic time in nanoseconds
     * @param sendFollowUps sends the commands that result from an answer
     */
    CommandSender(
            CommandTransport transport,
            DecisionLog log,
            LongSupplier clock,
            Runnable sendFollowUps) {
        mTransport = transport;
        mLog = log;
        mClock = clock;
        mSendFollowUps = sendFollowUps;
    }

    void send(ServiceScheduler scheduler, ServerCommand command) {
        if (command instanceof ServerCommand.Start start) {
            mTransport.start(
                    start,
                    COMMAND_TIMEOUT_MILLIS,
                    answer -> {
                        mLog.startFinished(start, answer.result());
                        scheduler.onStartAnswer(start, answer, mClock.getAsLong());
                        mSendFollowUps.run();
                    });
        } else if (command instanceof ServerCommand.Stop stop) {
            mTransport.stop(
                    stop,
                    COMMAND_TIMEOUT_MILLIS,
                    result -> {
                        scheduler.onStopResult(stop, result, mClock.getAsLong());
                        mSendFollowUps.run();
                    });
        } else if (command instanceof ServerCommand.Poll poll) {
            mTransport.poll(
                    poll,
                    poll.waitMillis() + COMMAND_TIMEOUT_MILLIS,
                    result -> {
                        mLog.pollFinished(poll, result);
                        scheduler.onPollResult(poll, result, mClock.getAsLong());
                        mSendFollowUps.run();
                    });
        }
    }
}

package org.wagtailproxy.dispatcher;

import java.util.function.LongSupplier;
import org.wagtailproxy.fleet.ServerCommand;
import org.wagtailproxy.scheduling.ServiceScheduler;

/**
 * Sends the orders of schedulers and hands the answers back to them. Confined to the event loop.
 */
final class CommandSender {

    /** How long an order may stay unanswered; a sound server answers in a few milliseconds. */
    private static final long ORDER_TIMEOUT_MILLIS = 120;

    private final CommandTransport mOrders;
    private final DecisionLog mLog;
    private final LongSupplier mClock;
    private final Runnable mFlush;

    /**
     * Creates a sender.
     *
     * @param clock gives the monotonic time in nanoseconds
     * @param flush sends the orders that follow from an answer
     */
    CommandSender(CommandTransport orders, DecisionLog log, LongSupplier clock, Runnable flush) {
        mOrders = orders;
        mLog = log;
        mClock = clock;
        mFlush = flush;
    }

    void send(ServiceScheduler scheduler, ServerCommand command) {
        if (command instanceof ServerCommand.Start start) {
            mOrders.start(
                    start,
                    ORDER_TIMEOUT_MILLIS,
                    result -> {
                        mLog.startAnswered(start, result);
                        scheduler.onStartResult(start, result, mClock.getAsLong());
                        mFlush.run();
                    });
        } else if (command instanceof ServerCommand.Stop stop) {
            mOrders.stop(
                    stop,
                    ORDER_TIMEOUT_MILLIS,
                    result -> {
                        scheduler.onStopResult(stop, result, mClock.getAsLong());
                        mFlush.run();
                    });
        } else if (command instanceof ServerCommand.Poll look) {
            mOrders.poll(
                    look,
                    look.waitMillis() + ORDER_TIMEOUT_MILLIS,
                    result -> {
                        mLog.looked(look, result);
                        scheduler.onPollResult(look, result, mClock.getAsLong());
                        mFlush.run();
                    });
        }
    }
}

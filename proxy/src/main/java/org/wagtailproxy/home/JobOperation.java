package org.wagtailproxy.home;

import org.wagtailproxy.wire.JobCall;

/** What a caller can ask about a job. */
public enum JobOperation {
    /** Submit it. */
    SUBMIT(JobCall.Operation.SUBMIT),
    /** Read it, waiting for its end if asked to. */
    GET(JobCall.Operation.GET),
    /** Cancel it. */
    CANCEL(JobCall.Operation.CANCEL),
    /** Read its trace. */
    TRACE(JobCall.Operation.TRACE);

    private final JobCall.Operation mWire;

    JobOperation(JobCall.Operation wire) {
        mWire = wire;
    }

    JobCall.Operation toWire() {
        return mWire;
    }

    static JobOperation fromWire(JobCall.Operation wire) {
        for (JobOperation operation : values()) {
            if (operation.mWire == wire) {
                return operation;
            }
        }
        return GET;
    }
}

package org.wagtailproxy.home;

import org.wagtailproxy.wire.JobCall;

/** Lists the operations that a caller can request on a job. */
public enum JobOperation {
    /** Submits the job. */
    SUBMIT(JobCall.Operation.SUBMIT),
    /** Reads the job, after waiting for its end if requested. */
    GET(JobCall.Operation.GET),
    /** Cancels the job. */
    CANCEL(JobCall.Operation.CANCEL),
    /** Reads the trace of the job. */
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

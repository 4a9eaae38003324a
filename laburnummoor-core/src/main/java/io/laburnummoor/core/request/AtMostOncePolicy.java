package io.laburnummoor.core.request;

final class AtMostOncePolicy implements RetryPolicy {
    @Override
    public boolean mayRetryAfterRun() {
        return false;
    }

    @Override
    public boolean mayResumeStream() {
        return false;
    }
}

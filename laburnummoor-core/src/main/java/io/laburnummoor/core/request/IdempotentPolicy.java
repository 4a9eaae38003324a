package io.laburnummoor.core.request;

final class IdempotentPolicy implements RetryPolicy {
    @Override
    public boolean mayRetryAfterRun() {
        return true;
    }

    @Override
    public boolean mayResumeStream() {
        return false;
    }
}

package io.laburnummoor.core.request;

/** Policy of {@link RetryPolicy#IDEMPOTENT}: a request may run again, but only until its response has started. */
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

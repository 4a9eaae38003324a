package io.laburnummoor.core.request;

/** Policy of {@link RetryPolicy#RESUMABLE}: a request may run again, also after events of it were delivered. */
final class ResumablePolicy implements RetryPolicy {
    @Override
    public boolean mayRetryAfterRun() {
        return true;
    }

    @Override
    public boolean mayResumeStream() {
        return true;
    }
}

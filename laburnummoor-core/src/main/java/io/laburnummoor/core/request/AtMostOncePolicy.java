package io.laburnummoor.core.request;

/** Policy of {@link RetryPolicy#AT_MOST_ONCE}: an attempt that may have run is the last one. */
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

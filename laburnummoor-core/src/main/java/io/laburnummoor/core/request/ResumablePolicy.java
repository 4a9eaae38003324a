package io.laburnummoor.core.request;

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

package io.laburnummoor.core.request;

final class ResumableRule implements RepeatRule {
    @Override
    public boolean repeatsAfterRun() {
        return true;
    }

    @Override
    public boolean continuesStream() {
        return true;
    }
}

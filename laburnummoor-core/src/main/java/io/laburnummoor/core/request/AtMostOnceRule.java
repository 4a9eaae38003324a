package io.laburnummoor.core.request;

final class AtMostOnceRule implements RepeatRule {
    @Override
    public boolean repeatsAfterRun() {
        return false;
    }

    @Override
    public boolean continuesStream() {
        return false;
    }
}

package io.laburnummoor.core.request;

final class IdempotentRule implements RepeatRule {
    @Override
    public boolean repeatsAfterRun() {
        return true;
    }

    @Override
    public boolean continuesStream() {
        return false;
    }
}

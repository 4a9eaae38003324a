package io.laburnummoor.gateway.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * Tells whether a caller still reads a response that has been queued for it. Slow callers on slow links are no idle
 * ones: idle time counts from the last byte that the socket took. Confined to the event loop of the channel.
 */
final class WriteProgress {
    private long pendingBytes;
    private long writtenOfCurrent;
    private long movedAtMillis;

    /** Starts to observe a response that was queued at the given time. */
    void start(long nowMillis) {
        pendingBytes = 0;
        writtenOfCurrent = 0;
        movedAtMillis = nowMillis;
    }

    /** Returns the time since the last observation at which bytes had moved. */
    long idleMillis(Channel channel, long nowMillis) {
        ChannelOutboundBuffer queued = channel.unsafe().outboundBuffer();
        if (queued != null
                && (queued.totalPendingWriteBytes() != pendingBytes || queued.currentProgress() != writtenOfCurrent)) {
            pendingBytes = queued.totalPendingWriteBytes();
            writtenOfCurrent = queued.currentProgress();
            movedAtMillis = nowMillis;
        }
        return nowMillis - movedAtMillis;
    }
}

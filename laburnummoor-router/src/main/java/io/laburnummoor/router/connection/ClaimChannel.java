package io.laburnummoor.router.connection;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.connection.RouterPeer;
import io.laburnummoor.core.process.ClaimPolicy;
import io.laburnummoor.core.process.RendezvousHash;
import io.laburnummoor.core.process.RouterPeers;
import io.laburnummoor.core.request.ClaimOutcome;
import io.laburnummoor.core.request.ClaimRecord;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Sends the claim records of one partition to its holder. While one batch is in flight, the next one is collected.
 *
 * <p>The last known holder is tried first, then the routers in the order of their rendezvous hash. A router that does
 * not hold the partition replies with the name of the holder. If that holder is unreachable or not listed, the next
 * router is asked to take the partition over.
 */
public final class ClaimChannel implements AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(ClaimChannel.class);
    private static final int MAX_HOPS = 6;

    private final int partition;
    private final String routerName;
    private final ClaimHolder localHolder;
    private final RouterPeers peers;
    private final Queue<QueuedCommand> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger queuedCount = new AtomicInteger();
    private final Map<RouterPeer, RemoteClaimHolder> remoteHolders = new HashMap<>();
    private String lastHolder = "";

    /** Creates the channel of a partition. */
    public ClaimChannel(int partition, String routerName, ClaimHolder localHolder, RouterPeers peers) {
        this.partition = partition;
        this.routerName = routerName;
        this.localHolder = localHolder;
        this.peers = peers;
    }

    /** Queues a command; returns whether the caller must arrange a call of {@link #sendBatch()}. */
    public boolean add(ClaimRecord command, Consumer<ClaimOutcome> onOutcome) {
        queue.add(new QueuedCommand(command, onOutcome));
        return queuedCount.getAndIncrement() == 0;
    }

    /** Sends one batch and waits for its outcomes; returns whether more commands are queued. */
    public boolean sendBatch() {
        List<QueuedCommand> batch = new ArrayList<>();
        QueuedCommand next = queue.poll();
        while (next != null) {
            batch.add(next);
            next = batch.size() < ClaimPolicy.MAX_BATCH_RECORDS ? queue.poll() : null;
        }
        List<ClaimOutcome> outcomes = Collections.nCopies(batch.size(), ClaimOutcome.of(ClaimOutcome.Kind.UNAVAILABLE));
        try {
            outcomes = sendToHolder(batch.stream().map(QueuedCommand::command).toList());
        } catch (RuntimeException failure) {
            LOGGER.errorf(failure, "sending claims of partition %d failed", partition);
        }
        for (int i = 0; i < batch.size(); i++) {
            try {
                batch.get(i).onOutcome.accept(outcomes.get(i));
            } catch (RuntimeException failure) {
                LOGGER.error("handler of a claim outcome failed", failure);
            }
        }
        return queuedCount.addAndGet(-batch.size()) > 0;
    }

    @Override
    public void close() {
        remoteHolders.values().forEach(RemoteClaimHolder::close);
    }

    private List<ClaimOutcome> sendToHolder(List<ClaimRecord> commands) {
        Set<String> unreachable = new HashSet<>();
        boolean takeOver = false;
        for (int hop = 0; hop < MAX_HOPS; hop++) {
            String target = selectTarget(unreachable);
            if (target == null) {
                break;
            }
            try {
                ClaimHolder.Reply reply = holderNamed(target).commit(partition, takeOver, commands);
                if (reply.holder().equals(target)) {
                    lastHolder = target;
                    return reply.outcomes();
                }
                takeOver = unreachable.contains(reply.holder()) || !isKnown(reply.holder());
                lastHolder = takeOver ? target : reply.holder();
            } catch (LaburnummoorException failure) {
                LOGGER.debugf("router %s did not commit claims of partition %d", target, partition);
                unreachable.add(target);
            }
        }
        return Collections.nCopies(commands.size(), ClaimOutcome.of(ClaimOutcome.Kind.UNAVAILABLE));
    }

    private @Nullable String selectTarget(Set<String> unreachable) {
        if (isKnown(lastHolder) && !unreachable.contains(lastHolder)) {
            return lastHolder;
        }
        for (RouterPeer peer : RendezvousHash.rank("claims/" + partition, peers.all(), RouterPeer::name)) {
            if (!unreachable.contains(peer.name())) {
                return peer.name();
            }
        }
        return unreachable.contains(routerName) ? null : routerName;
    }

    private boolean isKnown(String name) {
        return name.equals(routerName) || findPeer(name) != null;
    }

    private ClaimHolder holderNamed(String name) {
        RouterPeer peer = findPeer(name);
        return name.equals(routerName) || peer == null
                ? localHolder
                : remoteHolders.computeIfAbsent(peer, RemoteClaimHolder::new);
    }

    private @Nullable RouterPeer findPeer(String name) {
        for (RouterPeer peer : peers.all()) {
            if (peer.name().equals(name)) {
                return peer;
            }
        }
        return null;
    }

    private record QueuedCommand(ClaimRecord command, Consumer<ClaimOutcome> onOutcome) {}
}

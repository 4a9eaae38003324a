package io.laburnummoor.wire.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Assigns loopback ports to services whose port must be known before they bind it. All ports lie below the range from
 * which Linux takes the ports of outgoing connections, and no other process that uses this class gets the same ones:
 * each process holds a block of ports by listening on the first port of the block until it ends. Thread-safe.
 */
public final class LoopbackPorts implements AutoCloseable {
    private static final int FIRST_PORT = 12_000;
    private static final int BLOCK_PORTS = 200;
    private static final int BLOCK_COUNT = 100;
    private static final LoopbackPorts OF_THIS_PROCESS = new LoopbackPorts(
            FIRST_PORT, BLOCK_PORTS, BLOCK_COUNT, (int) (ProcessHandle.current().pid() % BLOCK_COUNT));

    private final int firstPort;
    private final int blockPorts;
    private final int blockCount;
    /** Sockets that mark the blocks of this process as taken; referenced so that they stay open until it ends. */
    private final List<ServerSocket> blockHolders = new ArrayList<>();

    private int nextBlock;
    private int blocksTried;
    private int nextPort;
    private int blockEnd;

    /**
     * Creates an allocator.
     *
     * @param firstPort first port of the first block
     * @param blockPorts number of ports in a block, including the one that marks it as taken
     * @param blockCount number of blocks
     * @param firstBlock block that is tried first
     */
    LoopbackPorts(int firstPort, int blockPorts, int blockCount, int firstBlock) {
        this.firstPort = firstPort;
        this.blockPorts = blockPorts;
        this.blockCount = blockCount;
        this.nextBlock = firstBlock;
    }

    /**
     * Returns a port that nothing on this machine listens on and that was not returned before.
     *
     * @throws IllegalStateException if all blocks are taken or used up
     */
    public static int next() {
        return OF_THIS_PROCESS.nextPort();
    }

    /** Gives the blocks up. */
    @Override
    public synchronized void close() {
        blockHolders.forEach(LoopbackPorts::close);
        blockHolders.clear();
    }

    synchronized int nextPort() {
        while (true) {
            if (nextPort >= blockEnd) {
                takeBlock();
            }
            int candidate = nextPort;
            nextPort++;
            if (isFree(candidate)) {
                return candidate;
            }
        }
    }

    private void takeBlock() {
        while (blocksTried < blockCount) {
            int first = firstPort + nextBlock * blockPorts;
            nextBlock = (nextBlock + 1) % blockCount;
            blocksTried++;
            ServerSocket holder = tryListen(first);
            if (holder != null) {
                blockHolders.add(holder);
                nextPort = first + 1;
                blockEnd = first + blockPorts;
                return;
            }
        }
        throw new IllegalStateException("all " + blockCount + " port blocks from " + firstPort + " are taken");
    }

    private static boolean isFree(int port) {
        ServerSocket socket = tryListen(port);
        if (socket == null) {
            return false;
        }
        close(socket);
        return true;
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Returns a socket that listens on the port, or null if the port is in use. */
    private static @Nullable ServerSocket tryListen(int port) {
        try {
            return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
        } catch (BindException inUse) {
            return null;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}

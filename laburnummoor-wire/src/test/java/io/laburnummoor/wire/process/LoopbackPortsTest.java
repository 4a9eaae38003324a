package io.laburnummoor.wire.process;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against a port that another socket holds: tests failed at times because an outgoing connection had taken the
 * port of a gateway before the gateway bound it.
 */
final class LoopbackPortsTest {
    /** Below the blocks of {@link LoopbackPorts#next}, so that tests that run in parallel do not interfere. */
    private static final int FIRST_PORT = 11_000;

    private static final int BLOCK_PORTS = 4;
    private static final int BLOCK_COUNT = 3;

    @ParameterizedTest(name = "port {0} is held, first block {1}")
    @CsvSource({
        "11000, 0, 11005 11006 11007 11009",
        "11001, 0, 11002 11003 11005 11006",
        "11003, 0, 11001 11002 11005 11006",
        "11011, 2, 11009 11010 11001 11002",
        "11004, 1, 11009 11010 11011 11001",
    })
    void heldPortIsPassedOver(int heldPort, int firstBlock, String expected) throws Exception {
        try (ServerSocket held = new ServerSocket(heldPort, 1, InetAddress.getLoopbackAddress())) {
            LoopbackPorts ports = new LoopbackPorts(FIRST_PORT, BLOCK_PORTS, BLOCK_COUNT, firstBlock);
            List<String> assigned = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                assigned.add(Integer.toString(ports.nextPort()));
            }

            assertThat(String.join(" ", assigned), is(expected));
            ports.close();
        }
    }

    @ParameterizedTest(name = "{0} allocators")
    @CsvSource({"1, 9", "3, 9"})
    void allocatorsShareNoPort(int allocators, int total) {
        List<LoopbackPorts> all = new ArrayList<>();
        List<Integer> assigned = new ArrayList<>();
        for (int i = 0; i < allocators; i++) {
            all.add(new LoopbackPorts(FIRST_PORT, BLOCK_PORTS, BLOCK_COUNT, 0));
        }
        for (int i = 0; i < total; i++) {
            assigned.add(all.get(i % allocators).nextPort());
        }

        assertThat(assigned.stream().distinct().count(), is((long) total));
        assertThrows(IllegalStateException.class, () -> all.get(0).nextPort());
        all.forEach(LoopbackPorts::close);
    }
}

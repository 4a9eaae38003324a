package io.laburnummoor.gateway.process;

import java.net.InetSocketAddress;

import io.netty.util.NetUtil;
import org.jspecify.annotations.Nullable;

/** Parses addresses that other processes have written, without a name lookup. */
public final class SocketAddresses {
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /** Returns the address of an IPv4 host and a port, written as HOST:PORT, or null for any other text. */
    public static @Nullable InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            return null;
        }
        String host = text.substring(0, colon);
        String port = text.substring(colon + 1);
        if (!NetUtil.isValidIpV4Address(host) || !port.matches("[0-9]{1,5}")) {
            return null;
        }
        int number = Integer.parseInt(port);
        return number < 1 || number > MAX_PORT ? null : new InetSocketAddress(host, number);
    }
}

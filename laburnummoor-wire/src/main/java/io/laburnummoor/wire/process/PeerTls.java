package io.laburnummoor.wire.process;

import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManagerFactory;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;

import io.laburnummoor.core.ErrorCode;
import io.laburnummoor.core.LaburnummoorException;
import io.laburnummoor.core.Snapshot;

/**
 * Mutual TLS between the processes of the system.
 *
 * <p>Each process has a PKCS #12 file with its own key and certificate and one with the certificate authorities that it
 * trusts. Replaced files are noticed by their modification time and used for connections made from then on; if new
 * files cannot be read, the ones read before stay in use.
 */
public final class PeerTls {
    private static final String PROTOCOL = "TLSv1.3";
    private static final String STORE_TYPE = "PKCS12";

    private final Path keyStoreFile;
    private final Path trustStoreFile;
    private final Path passwordFile;
    private final Snapshot<Loaded> loaded;

    /**
     * Reads the files.
     *
     * @param passwordFile file whose first line is the password of both stores
     * @throws LaburnummoorException with code {@code invalid_settings} if a file cannot be read
     */
    public PeerTls(Path keyStoreFile, Path trustStoreFile, Path passwordFile) {
        this.keyStoreFile = keyStoreFile;
        this.trustStoreFile = trustStoreFile;
        this.passwordFile = passwordFile;
        this.loaded = new Snapshot<>(load());
    }

    /** Connects to a peer; the handshake takes place at the first read or write. */
    public Socket connect(String host, int port, int timeoutMillis) throws IOException {
        Socket plain = new Socket();
        plain.connect(new InetSocketAddress(host, port), timeoutMillis);
        return wrap(plain, true);
    }

    /** Secures an accepted connection; the handshake takes place at the first read or write. */
    public Socket accept(Socket plain) throws IOException {
        return wrap(plain, false);
    }

    private Socket wrap(Socket plain, boolean client) throws IOException {
        plain.setTcpNoDelay(true);
        String host = plain.getInetAddress().getHostAddress();
        SSLSocket secured = (SSLSocket) context().getSocketFactory().createSocket(plain, host, plain.getPort(), true);
        secured.setEnabledProtocols(new String[] {PROTOCOL});
        secured.setUseClientMode(client);
        if (!client) {
            secured.setNeedClientAuth(true);
        }
        return secured;
    }

    private SSLContext context() {
        Loaded current = loaded.get();
        if (current.modifiedMillis == modifiedMillis()) {
            return current.context;
        }
        try {
            Loaded renewed = load();
            loaded.replace(renewed);
            return renewed.context;
        } catch (LaburnummoorException unreadable) {
            return current.context;
        }
    }

    private Loaded load() {
        long modifiedMillis = modifiedMillis();
        try {
            char[] password = Files.readAllLines(passwordFile).get(0).trim().toCharArray();
            KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
            keys.init(readStore(keyStoreFile, password), password);
            TrustManagerFactory trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
            trust.init(readStore(trustStoreFile, password));
            SSLContext context = SSLContext.getInstance(PROTOCOL);
            context.init(keys.getKeyManagers(), trust.getTrustManagers(), null);
            return new Loaded(context, modifiedMillis);
        } catch (IOException | GeneralSecurityException | IndexOutOfBoundsException cause) {
            throw new LaburnummoorException(
                    ErrorCode.INVALID_SETTINGS, "TLS files cannot be read: " + cause.getMessage(), cause);
        }
    }

    private long modifiedMillis() {
        return keyStoreFile.toFile().lastModified()
                ^ trustStoreFile.toFile().lastModified()
                ^ passwordFile.toFile().lastModified();
    }

    private static KeyStore readStore(Path file, char[] password) throws IOException, GeneralSecurityException {
        KeyStore store = KeyStore.getInstance(STORE_TYPE);
        try (InputStream stream = Files.newInputStream(file)) {
            store.load(stream, password);
        }
        return store;
    }

    private record Loaded(SSLContext context, long modifiedMillis) {}
}

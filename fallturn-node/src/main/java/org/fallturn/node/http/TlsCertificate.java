package org.fallturn.node.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.eclipse.jetty.util.ssl.KeyStoreScanner;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Certificate and private key of a listening port, from a PKCS #12 file. The file is looked at
 * every few seconds; a new one counts for connections opened from then on, without a restart. A new
 * file that cannot be read leaves the old certificate in place.
 */
public final class TlsCertificate {

  private static final String STORE_TYPE = "PKCS12";
  private static final int DEFAULT_SCAN_SECONDS = 5;

  private final Path keyStore;
  private final String password;
  private final int scanSeconds;

  /**
   * A certificate.
   *
   * @param keyStore PKCS #12 file
   * @param passwordFile file that holds its password
   * @throws IOException when the password cannot be read
   */
  public TlsCertificate(Path keyStore, Path passwordFile) throws IOException {
    this(keyStore, Files.readString(passwordFile).strip(), DEFAULT_SCAN_SECONDS);
  }

  TlsCertificate(Path keyStore, String password, int scanSeconds) {
    this.keyStore = keyStore;
    this.password = password;
    this.scanSeconds = scanSeconds;
  }

  SslContextFactory.Server newContextFactory() {
    SslContextFactory.Server factory = new SslContextFactory.Server();
    factory.setKeyStoreType(STORE_TYPE);
    factory.setKeyStorePath(keyStore.toAbsolutePath().toString());
    factory.setKeyStorePassword(password);
    factory.setIncludeProtocols("TLSv1.2", "TLSv1.3");
    factory.setSniRequired(false);
    return factory;
  }

  KeyStoreScanner newScanner(SslContextFactory.Server factory) {
    KeyStoreScanner scanner = new KeyStoreScanner(factory);
    scanner.setScanInterval(scanSeconds);
    return scanner;
  }
}

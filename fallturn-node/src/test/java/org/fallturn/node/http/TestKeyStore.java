package org.fallturn.node.http;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Key stores with a self-signed certificate, made by the JDK's keytool. */
public final class TestKeyStore {

  /** Password of every key store. */
  public static final String PASSWORD = "changeit";

  private TestKeyStore() {}

  /** A new key store {@code name.p12} whose certificate has that common name. */
  public static Path create(Path directory, String name) throws IOException, InterruptedException {
    Path file = directory.resolve(name + ".p12");
    keytool(file, "-genkeypair", "-alias", "node", "-keyalg", "EC", "-dname", "CN=" + name);
    return file;
  }

  /** Writes the certificate of a key store as PEM. */
  public static Path exportCertificate(Path keyStore, Path directory)
      throws IOException, InterruptedException {
    Path file = directory.resolve("certificate.pem");
    keytool(keyStore, "-exportcert", "-rfc", "-alias", "node", "-file", file.toString());
    return file;
  }

  private static void keytool(Path keyStore, String... arguments)
      throws IOException, InterruptedException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "keytool").toString());
    command.addAll(List.of(arguments));
    command.addAll(
        List.of("-storetype", "PKCS12", "-storepass", PASSWORD, "-keystore", keyStore.toString()));
    int exit = new ProcessBuilder(command).redirectErrorStream(true).start().waitFor();
    if (exit != 0) {
      throw new IOException("keytool ended with " + exit);
    }
  }
}

package org.fallturn.node.server;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.fallturn.node.settings.IdentitySettings;

/** Reads the secret that the nodes of a cluster share. */
final class ClusterKey {

  private ClusterKey() {}

  /**
   * The key from its file, else from the settings; empty when neither is set.
   *
   * @throws IOException when the file cannot be read
   */
  static byte[] read(IdentitySettings identity) throws IOException {
    if (identity.clusterKeyFile().isEmpty()) {
      return identity.clusterKey().getBytes(StandardCharsets.UTF_8);
    }
    String content = Files.readString(Path.of(identity.clusterKeyFile()));
    return content.strip().getBytes(StandardCharsets.UTF_8);
  }
}

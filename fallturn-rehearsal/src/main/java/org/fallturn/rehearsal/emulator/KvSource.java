package org.fallturn.rehearsal.emulator;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import org.eclipse.jetty.http.HttpStatus;

/** The KV cache of a prompt that another emulated engine has read. */
final class KvSource {

  private KvSource() {}

  /**
   * Takes the cache away from the engine that read the prompt, which gives it once.
   *
   * @param source address of that engine and handle of the cache
   * @return whether it was there; not from an engine that has ended
   */
  static boolean take(String source) throws IOException {
    int slash = source.indexOf('/');
    URI uri =
        URI.create(
            "http://"
                + source.substring(0, slash)
                + EmulatedEngine.HANDLE_PATH
                + source.substring(slash + 1));
    HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
    connection.setRequestMethod("DELETE");
    try {
      return connection.getResponseCode() == HttpStatus.OK_200;
    } catch (IOException e) {
      return false;
    }
  }
}

package org.fallturn.rehearsal.emulator;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Response;

/**
 * Writes the events of one stream. Where the stream ends with its connection, each event begins as
 * soon as the one before is written, so that a stream that breaks off does so inside an event. One
 * thread uses it.
 */
final class EmulatedStream {

  private static final String EVENT_BEGIN = "id";

  private final Response response;
  private final String softwareVersion;
  private final boolean endsWithConnection;
  private boolean begun;

  EmulatedStream(Response response, String softwareVersion) {
    this.response = response;
    this.softwareVersion = softwareVersion;
    this.endsWithConnection =
        response.getHeaders().contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
  }

  /** Writes an event, or what is missing of it. */
  void write(int event) throws Exception {
    String text = StreamEvents.event(event, softwareVersion);
    part(response, begun ? text.substring(EVENT_BEGIN.length()) : text);
    begun = endsWithConnection && event < StreamEvents.COUNT;
    if (begun) {
      part(response, EVENT_BEGIN);
    }
  }

  /** Writes a part of an answer. */
  static void part(Response response, String text) throws Exception {
    try (Blocking written = new Blocking()) {
      response.write(false, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), written);
      written.block();
    }
  }
}

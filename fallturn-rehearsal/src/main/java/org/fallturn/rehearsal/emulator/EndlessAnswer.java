package org.fallturn.rehearsal.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Bytes that are no answer and do not end, as a broken engine sends them. */
enum EndlessAnswer {
  INTERIM_HEADS("", "HTTP/1.1 102 Processing\r\nX-A: a\r\n\r\n"),
  HEAD("HTTP/1.1 200 OK\r\n", "a:\r\n"),
  FAILURE("HTTP/1.1 500 Failed\r\n%s\r\n", "failed "),
  CHUNK_EXTENSION("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n1;", "extension "),
  TRAILERS("HTTP/1.1 500 Failed\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: a\r\n"),
  BLANK_LINES("", "\r\n");

  /** Far more than anybody should read of it; bounds what a run sends. */
  private static final int MOST_BYTES = 32 << 20;

  private static final int PIECE_BYTES = 8 * 1024;

  private final String begin;
  private final byte[] piece;

  EndlessAnswer(String begin, String part) {
    this.begin = begin;
    String repeated = part.repeat(PIECE_BYTES / part.length());
    this.piece = repeated.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Where the bytes go. */
  @FunctionalInterface
  interface Sink {

    /** Writes bytes; throws once nobody reads them any more. */
    void write(byte[] bytes) throws IOException;
  }

  /** Returns the kind that a number stands for. */
  static EndlessAnswer of(int number) {
    return values()[Math.floorMod(number, values().length)];
  }

  /**
   * Writes until nobody reads any more.
   *
   * @param fields the fields of a head that an answer needs, each with its line end
   */
  void send(String fields, Sink sink) {
    try {
      sink.write(begin.formatted(fields).getBytes(StandardCharsets.ISO_8859_1));
      for (int sent = 0; sent < MOST_BYTES; sent += piece.length) {
        sink.write(piece);
      }
    } catch (IOException e) {
      // The node closed the connection.
    }
  }
}

package org.fallturn.rehearsal.emulator;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** Requests as they are read from a plain socket, by engines that are processes of their own. */
final class RawRequests {

  /** Names a request, in it and in its answer. */
  static final String REQUEST_ID = "X-Fallturn-Request-Id";

  private RawRequests() {}

  /**
   * A request.
   *
   * @param target path and query
   * @param headers values by lower-case name
   */
  record Head(String target, Map<String, String> headers) {

    String header(String name, String otherwise) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), otherwise);
    }

    String requestId() {
      return header(REQUEST_ID, "");
    }

    /** The time that the caller still waits, in ms. */
    String millisLeft() {
      return header("X-Fallturn-Deadline-Ms", "0");
    }

    /** Which of its caller's tries it belongs to. */
    String tryNumber() {
      return header(EmulatedClient.TRY, "1");
    }

    /** Whether it is meant for this engine, or for any. */
    boolean isFor(String engineId) {
      return header("X-Fallturn-Expect-Instance", engineId).equals(engineId);
    }

    /** Whether it is no caller's request. */
    boolean isControl() {
      return target.startsWith("/-/");
    }

    private boolean isEnd() {
      return target.isEmpty();
    }
  }

  /** What answers requests. */
  @FunctionalInterface
  interface Answering {

    /** Answers a request; returns whether its connection can be used again. */
    boolean answer(Socket connection, InputStream in, Head head, Random random)
        throws IOException, InterruptedException;
  }

  /**
   * Listens, says where, and serves each connection on a thread of its own; never returns.
   *
   * @param port 0 for any free one
   */
  static void listen(int port, Answering answering) throws IOException {
    try (ServerSocket server = new ServerSocket()) {
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      System.out.println("listening 127.0.0.1:" + server.getLocalPort());
      while (true) {
        Socket connection = server.accept();
        new Thread(() -> serve(connection, answering), "connection").start();
      }
    }
  }

  private static void serve(Socket connection, Answering answering) {
    try (connection) {
      connection.setTcpNoDelay(true);
      Random random = new Random();
      InputStream in = new BufferedInputStream(connection.getInputStream());
      while (answering.answer(connection, in, read(in), random)) {
        connection.setSoTimeout(0);
      }
    } catch (IOException | InterruptedException e) {
      // The gateway has ended the connection.
    }
  }

  /** Reads a request and its body; throws at the end of the connection. */
  private static Head read(InputStream in) throws IOException {
    Head head = readHead(in);
    if (head.isEnd()) {
      throw new IOException("the connection has ended");
    }
    in.readNBytes(Integer.parseInt(head.header("Content-Length", "0")));
    return head;
  }

  private static Head readHead(InputStream in) throws IOException {
    String first = readLine(in);
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(": ");
      if (colon > 0) {
        headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 2));
      }
    }
    return new Head(first.isEmpty() ? "" : first.split(" ")[1], headers);
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}

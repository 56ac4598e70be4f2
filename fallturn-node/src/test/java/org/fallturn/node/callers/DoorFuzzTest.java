package org.fallturn.node.callers;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/**
 * Malformed and odd requests at the callers' door: each gets an answer in bounded time, none makes
 * the door fail, and a well-formed request is served afterwards.
 */
class DoorFuzzTest {

  private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3})");
  private static final int READ_MILLIS = 30_000;
  private static final int FAULT = 500;
  private static final List<String> METHODS = List.of("GET", "POST", "PUT", "PATCH", "BREW", "");
  private static final List<String> PATHS =
      List.of(
          "/v1/completions",
          "/v1/chat/completions",
          "/v1/models",
          "/services/",
          "/services/stock/x?a=b",
          "/services/%zz/..",
          "/services//",
          "/services/%20/x",
          "/%00",
          "*");
  private static final List<String> HEADERS =
      List.of(
          "Authorization: Bearer " + DoorFixture.KEY,
          "Authorization: Basic x",
          "X-Deadline-Millis: 99999999999999999999",
          "X-Deadline-Millis: 9223372036854775807",
          "X-Deadline-Millis: -1",
          "X-Urgency: \u0001",
          "Idempotency-Key: k",
          "Idempotency-Key: " + "k".repeat(300),
          "Expect: 100-continue",
          "Connection: upgrade",
          "Upgrade: h2c",
          "Content-Type: text/\u00ff",
          "X-Long: " + "x".repeat(9_000),
          ": nameless");
  private static final List<String> BODIES =
      List.of(
          "{\"model\":\"assistant\",\"prompt\":\"a\",\"max_tokens\":3}",
          "{\"model\":\"assistant\",\"prompt\":\"a\",\"max_tokens\":3,\"stream\":true}",
          "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}",
          "{\"model\":\"assistant\",\"messages\":[null,{}]}",
          "{\"model\":\"\",\"prompt\":null,\"max_tokens\":1e99}",
          "{\"model\":{},\"messages\":7,\"stream\":\"maybe\"}",
          "[".repeat(200),
          "null",
          "\u0000\ufffe{",
          "");

  private static DoorFixture fixture;
  private static ScriptedEngine engine;

  @BeforeContainer
  static void open() throws Exception {
    fixture = new DoorFixture(new MemoryTable(), Duration.ofSeconds(2));
    engine = new ScriptedEngine("engine-1");
    fixture.decoders.add(engine.target());
  }

  @AfterContainer
  static void close() throws Exception {
    fixture.close();
    engine.close();
  }

  @Property(tries = 400, seed = "20240604")
  void everyOddRequestIsAnswered(@ForAll long seed) throws Exception {
    Random random = new Random(seed);
    List<Integer> statuses = exchange(request(random));
    assertThat(statuses).allSatisfy(status -> assertThat(status).isNotEqualTo(FAULT));
  }

  @Property(tries = 20, seed = "20240605")
  void theDoorStillServesAfterwards(@ForAll long seed) throws Exception {
    exchange(request(new Random(seed)));
    String body = BODIES.get(0);
    assertThat(fixture.post("/v1/completions", body).body()).contains("\" t0 t1 t2\"");
  }

  private static byte[] request(Random random) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    byte[] body = body(random);
    bytes.writeBytes(
        (pick(random, METHODS) + " " + pick(random, PATHS) + " HTTP/1.1\r\nHost: door\r\n")
            .getBytes(StandardCharsets.UTF_8));
    if (random.nextInt(4) > 0) {
      bytes.writeBytes((HEADERS.get(0) + "\r\n").getBytes(StandardCharsets.UTF_8));
    }
    for (int count = random.nextInt(4); count > 0; count--) {
      bytes.writeBytes((pick(random, HEADERS) + "\r\n").getBytes(StandardCharsets.UTF_8));
    }
    bytes.writeBytes(length(random, body.length).getBytes(StandardCharsets.UTF_8));
    bytes.writeBytes("\r\n".getBytes(StandardCharsets.UTF_8));
    bytes.writeBytes(body);
    return mutate(random, bytes.toByteArray());
  }

  private static byte[] body(Random random) {
    if (random.nextInt(6) == 0) {
      byte[] noise = new byte[random.nextInt(2_000)];
      random.nextBytes(noise);
      return noise;
    }
    return pick(random, BODIES).getBytes(StandardCharsets.UTF_8);
  }

  private static String length(Random random, int length) {
    return switch (random.nextInt(8)) {
      case 0 -> "Content-Length: -5\r\n";
      case 1 -> "Content-Length: " + (length + 7) + "\r\n";
      case 2 -> "Transfer-Encoding: chunked\r\n";
      case 3 -> "Content-Length: 99999999999\r\n";
      default -> "Content-Length: " + length + "\r\n";
    };
  }

  private static byte[] mutate(Random random, byte[] bytes) {
    if (random.nextInt(3) == 0) {
      for (int count = 1 + random.nextInt(4); count > 0; count--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
    }
    return bytes;
  }

  private static String pick(Random random, List<String> choices) {
    return choices.get(random.nextInt(choices.size()));
  }

  /** Sends bytes, closes the sending side, and reads every answer until the door closes. */
  private static List<Integer> exchange(byte[] request) throws IOException {
    try (Socket socket = new Socket(fixture.door.address().host(), fixture.door.address().port())) {
      socket.setSoTimeout(READ_MILLIS);
      try {
        socket.getOutputStream().write(request);
        socket.shutdownOutput();
        String answer =
            new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        Matcher matcher = STATUS.matcher(answer);
        return matcher.results().map(found -> Integer.valueOf(found.group(1))).toList();
      } catch (java.net.SocketTimeoutException e) {
        throw new AssertionError("the door hangs", e);
      } catch (IOException e) {
        return List.of();
      }
    }
  }
}

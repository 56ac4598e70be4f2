package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against bytes of one exchange that end up in another. With the HTTP client's pool of
 * buffers, answers lost chunks while answers on other connections broke off within a chunk: a
 * buffer was in use at two connections at once. In a request that would run one request twice.
 * Every request and answer here consists of its own id alone.
 *
 * <p>The fault is rare (some 5 in 188,000 whole answers): {@code -Dbuffers.exchanges=200000} looks
 * for it.
 */
class ClientBuffersTest {

  private static final int EXCHANGES = Integer.getInteger("buffers.exchanges", 4_000);
  private static final long SEED = 91;
  private static final int CALLERS = 40;
  private static final int SERVERS = 6;
  private static final int CONNECTIONS = 64;
  private static final int MAX_REPEATS = 2_000;
  private static final int CHUNKS = 20;
  private static final int BREAKS_OFF_PERCENT = 30;
  private static final int MAX_PAUSE_MILLIS = 10;

  private final QueuedThreadPool threads = new QueuedThreadPool();
  private final List<ServerSocket> servers = new ArrayList<>();
  private final Set<String> arrived = ConcurrentHashMap.newKeySet();
  private final Queue<String> faults = new ConcurrentLinkedQueue<>();
  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger number = new AtomicInteger();
  private HttpClient client;

  @BeforeEach
  void start() throws Exception {
    threads.start();
    client =
        PlainHttpClients.start(
            threads,
            Duration.ofSeconds(5),
            destination -> new DuplexConnectionPool(destination, CONNECTIONS));
    for (int index = 0; index < SERVERS; index++) {
      ServerSocket server = new ServerSocket(0, CALLERS, InetAddress.getLoopbackAddress());
      servers.add(server);
      Random random = new Random(SEED + index);
      daemon(() -> accept(server, random));
    }
  }

  @AfterEach
  void stop() throws Exception {
    client.stop();
    threads.stop();
    for (ServerSocket server : servers) {
      server.close();
    }
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "buffers");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void accept(ServerSocket server, Random random) {
    try {
      while (true) {
        Socket connection = server.accept();
        Random own = new Random(random.nextLong());
        daemon(() -> serve(connection, own));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket connection, Random random) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      String line = readLine(in);
      while (line != null && answer(line, in, connection.getOutputStream(), random)) {
        line = readLine(in);
      }
    } catch (IOException e) {
      // The client closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        return null;
      }
      line.append((char) next);
    }
    return line.toString().strip();
  }

  /** Checks one request and answers it; false when the answer breaks off. */
  private boolean answer(String requestLine, InputStream in, OutputStream out, Random random)
      throws IOException, InterruptedException {
    String id = requestLine.split(" ")[1].substring(1);
    int length = 0;
    String line = readLine(in);
    while (line != null && !line.isEmpty()) {
      String[] field = line.split(": ", 2);
      if (field[0].equalsIgnoreCase("Content-Length")) {
        length = Integer.parseInt(field[1]);
      } else if (field[0].equals("X-Id") && !field[1].equals(id)) {
        faults.add("the head of " + id + " names " + field[1]);
      }
      line = readLine(in);
    }
    String body = new String(in.readNBytes(length), StandardCharsets.US_ASCII);
    if (!body.equals(repeated(id, length / (id.length() + 1)))) {
      faults.add("the body of " + id + " is of another request");
    }
    if (!arrived.add(id)) {
      faults.add(id + " came twice");
    }
    return writeAnswer(id, out, random);
  }

  private static String repeated(String id, int times) {
    return (id + " ").repeat(times);
  }

  private static boolean writeAnswer(String id, OutputStream out, Random random)
      throws IOException, InterruptedException {
    write(out, "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    boolean breaksOff = random.nextInt(100) < BREAKS_OFF_PERCENT;
    int last = random.nextInt(CHUNKS);
    for (int chunk = 0; chunk < CHUNKS; chunk++) {
      String data = repeated(id + "-" + chunk, 1 + random.nextInt(100));
      write(out, Integer.toHexString(data.length()) + "\r\n");
      if (breaksOff && chunk == last) {
        write(out, data.substring(0, 1 + random.nextInt(data.length() - 1)));
        return false;
      }
      write(out, data + "\r\n");
      if (random.nextInt(3) == 0) {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
      }
    }
    write(out, "0\r\n\r\n");
    return true;
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private void sendAll(Random random) {
    try {
      for (int next = number.incrementAndGet();
          next <= EXCHANGES;
          next = number.incrementAndGet()) {
        send("r" + next, random);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void send(String id, Random random) throws InterruptedException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    CountDownLatch done = new CountDownLatch(1);
    String content = repeated(id, random.nextInt(MAX_REPEATS));
    client
        .newRequest("127.0.0.1", servers.get(random.nextInt(SERVERS)).getLocalPort())
        .method("POST")
        .path("/" + id)
        .headers(headers -> headers.put("X-Id", id))
        .body(new BytesRequestContent((String) null, content.getBytes(StandardCharsets.US_ASCII)))
        .onResponseContentAsync(
            (response, chunk, demander) -> {
              body.writeBytes(BufferUtil.toArray(chunk.getByteBuffer()));
              demander.run();
            })
        .send(
            result -> {
              check(id, result, body.toString(StandardCharsets.US_ASCII));
              done.countDown();
            });
    done.await();
  }

  private void check(String id, Result result, String body) {
    if (result.isFailed()) {
      return;
    }
    whole.incrementAndGet();
    String named = result.getResponse().getHeaders().get("X-Id");
    if (!id.equals(named)) {
      faults.add(id + " got the head of " + named);
    }
    int chunk = 0;
    for (String word : body.split(" ")) {
      if (word.equals(id + "-" + (chunk + 1))) {
        chunk++;
      } else if (!word.equals(id + "-" + chunk)) {
        faults.add(id + " got " + word + " behind chunk " + chunk);
        return;
      }
    }
    if (chunk != CHUNKS - 1) {
      faults.add(id + " came whole without its end");
    }
  }

  @Test
  void exchangesDoNotMixWhileOthersBreakOff() throws Exception {
    List<Thread> callers = new ArrayList<>();
    for (int index = 0; index < CALLERS; index++) {
      Random random = new Random(SEED * CALLERS + index);
      callers.add(daemon(() -> sendAll(random)));
    }
    for (Thread caller : callers) {
      caller.join();
    }
    System.out.println("buffers: " + whole + " whole answers, faults " + faults);
    assertThat(faults).isEmpty();
    assertThat(whole.get()).isGreaterThan(EXCHANGES / 2);
  }
}

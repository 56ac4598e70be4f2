import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.BufferUtil;

/** Checks streams that the HTTP client library has received; see README.md. */
public final class LostPieces {

  private static final int EVENTS = 40;
  private static final int SERVERS = 6;
  private static final int CLIENTS = 40;
  private static final double BROKEN_OFF = 0.3;

  private static final AtomicLong IDS = new AtomicLong();
  private static final AtomicLong WHOLE = new AtomicLong();
  private static final AtomicLong BROKEN = new AtomicLong();
  private static final AtomicLong LOST = new AtomicLong();

  private LostPieces() {}

  public static void main(String[] arguments) throws Exception {
    List<Integer> ports = new ArrayList<>();
    for (int index = 0; index < SERVERS; index++) {
      ports.add(new Http.Server("127.0.0.1", LostPieces::stream).socket.getLocalPort());
    }
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(1);
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setResponseBufferSize(8192);
    client.start();
    long end = System.nanoTime() + Long.getLong("seconds", 60) * 1_000_000_000L;
    List<Thread> threads = new ArrayList<>();
    for (int index = 0; index < CLIENTS; index++) {
      threads.add(Http.daemon("client", () -> sendUntil(end, client, ports)));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    System.out.println(
        "whole " + WHOLE + ", broken off " + BROKEN + ", whole but with a piece missing " + LOST);
    System.exit(LOST.get() > 0 ? 1 : 0);
  }

  /** Answers with a stream in chunks; of 10 such answers, 3 break off inside an event. */
  private static boolean stream(Http.Message request, OutputStream out)
      throws IOException, InterruptedException {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    String id = request.header("X-Id");
    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
    boolean breaksOff = random.nextDouble() < BROKEN_OFF;
    int last = random.nextInt(EVENTS);
    int event = 1;
    while (event <= EVENTS) {
      StringBuilder chunk = new StringBuilder();
      for (int count = 1 + random.nextInt(5); count > 0 && event <= EVENTS; count--, event++) {
        chunk.append("id: ").append(event).append("\ndata: ").append(id).append('-').append(event);
        chunk.append(" ".repeat(random.nextInt(200))).append("\n\n");
      }
      byte[] bytes = chunk.toString().getBytes();
      out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes());
      if (breaksOff && event > last) {
        out.write(bytes, 0, 1 + random.nextInt(bytes.length - 1));
        out.flush();
        return false;
      }
      out.write(bytes);
      out.write("\r\n".getBytes());
      out.flush();
      if (random.nextInt(3) == 0) {
        Thread.sleep(random.nextInt(15));
      }
    }
    out.write("0\r\n\r\n".getBytes());
    out.flush();
    return true;
  }

  private static void sendUntil(long endNanos, HttpClient client, List<Integer> ports) {
    while (System.nanoTime() < endNanos) {
      try {
        send(client, ports.get(ThreadLocalRandom.current().nextInt(SERVERS)));
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void send(HttpClient client, int port) throws InterruptedException {
    String id = "s" + IDS.incrementAndGet();
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    CountDownLatch done = new CountDownLatch(1);
    AtomicBoolean failed = new AtomicBoolean();
    client
        .newRequest("127.0.0.1", port)
        .headers(headers -> headers.put("X-Id", id))
        .onResponseContentAsync(
            (response, chunk, demander) -> {
              body.writeBytes(BufferUtil.toArray(chunk.getByteBuffer()));
              demander.run();
            })
        .send(
            result -> {
              failed.set(result.isFailed());
              done.countDown();
            });
    done.await();
    if (failed.get()) {
      BROKEN.incrementAndGet();
      return;
    }
    int event = 1;
    for (String text : body.toString().split("\n\n")) {
      if (!text.startsWith("id: " + event + "\ndata: " + id + "-" + event)) {
        break;
      }
      event++;
    }
    if (event > EVENTS) {
      WHOLE.incrementAndGet();
    } else {
      LOST.incrementAndGet();
      System.out.println(id + " came whole without event " + event);
    }
  }
}

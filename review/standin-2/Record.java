import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What was sent, answered and run: one line each in record.txt. */
final class Record implements AutoCloseable {

  private final BufferedWriter out;
  private final long begun = System.nanoTime();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final Map<String, Integer> engineStatus = new ConcurrentHashMap<>();

  Record(Path file) throws IOException {
    out = Files.newBufferedWriter(file);
  }

  synchronized void line(String text) {
    try {
      out.write(String.format("%9.3f %s%n", (System.nanoTime() - begun) / 1e9, text));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  void ran(String requestId, String engine) {
    runs.merge(requestId, 1, Integer::sum);
    line("run " + requestId + " at " + engine);
  }

  void answered(String requestId, String engine, int status) {
    engineStatus.put(requestId, status);
    line("engine " + engine + " answers " + requestId + " with " + status);
  }

  int runs(String requestId) {
    return runs.getOrDefault(requestId, 0);
  }

  /** Status that an engine gave last; 0 for none. */
  int engineStatus(String requestId) {
    return engineStatus.getOrDefault(requestId, 0);
  }

  @Override
  public synchronized void close() throws IOException {
    out.close();
  }
}

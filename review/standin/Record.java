import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The record of one play: what was sent, answered and run, with the time since its beginning. */
final class Record {

  private final long begunNanos = System.nanoTime();
  private final List<String> lines = new ArrayList<>();

  void line(String format, Object... values) {
    double seconds = (System.nanoTime() - begunNanos) / 1e9;
    String text = String.format(Locale.ROOT, "%8.3f s  ", seconds) + String.format(Locale.ROOT, format, values);
    synchronized (lines) {
      lines.add(text);
    }
  }

  /** Adds a line and shows it. */
  void say(String format, Object... values) {
    line(format, values);
    System.out.println(String.format(Locale.ROOT, format, values));
  }

  void write(Path file) throws IOException {
    synchronized (lines) {
      Files.write(file, lines);
    }
  }
}

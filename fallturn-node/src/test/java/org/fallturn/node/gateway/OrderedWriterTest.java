package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;

/**
 * Guards against two failures when parts arrive faster than they are written: a part that is
 * written before the previous one is done, and a failure that is reported to the wrong part.
 */
class OrderedWriterTest {

  private final List<String> begun = new ArrayList<>();
  private final List<Callback> pending = new ArrayList<>();
  private final List<String> results = new ArrayList<>();
  private final OrderedWriter writer =
      new OrderedWriter(
          (last, bytes, callback) -> {
            begun.add(StandardCharsets.UTF_8.decode(bytes) + (last ? "!" : ""));
            pending.add(callback);
          });

  private void write(boolean last, String text) {
    writer.write(
        last,
        ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)),
        Callback.from(() -> results.add(text), failure -> results.add(text + " failed")));
  }

  @Test
  void partWaitsForTheOneBefore() {
    write(false, "a");
    write(false, "b");
    write(true, "c");
    assertThat(begun).containsExactly("a");
    pending.get(0).succeeded();
    assertThat(begun).containsExactly("a", "b");
    pending.get(1).succeeded();
    pending.get(2).succeeded();
    assertThat(begun).containsExactly("a", "b", "c!");
    assertThat(results).containsExactly("a", "b", "c");
  }

  @Test
  void failureIsReportedToThePartThatFailed() {
    write(false, "a");
    write(false, "b");
    pending.get(0).failed(new IllegalStateException("the caller left"));
    assertThat(begun).containsExactly("a", "b");
    pending.get(1).succeeded();
    assertThat(results).containsExactly("a failed", "b");
  }
}

package org.fallturn.node.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Streams of events cut at any place. */
class ServerSentEventParserTest {

  private static final String STREAM =
      ": comment\n\ndata: {\"a\":1}\r\n\r\nevent: x\ndata:second\n\ndata:\n\ndatax: no\n\n";

  private final List<String> data = new ArrayList<>();

  private ServerSentEventParser parser(int maxBytes) {
    return new ServerSentEventParser(
        maxBytes,
        (bytes, offset, length) ->
            data.add(new String(bytes, offset, length, StandardCharsets.UTF_8)));
  }

  @Property(tries = 200, seed = "20240606")
  void theCutsDoNotMatter(@ForAll @IntRange(min = 1, max = 80) int size) throws Exception {
    data.clear();
    ServerSentEventParser parser = parser(1_000);
    byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
    for (int from = 0; from < bytes.length; from += size) {
      parser.accept(ByteBuffer.wrap(bytes, from, Math.min(size, bytes.length - from)));
    }
    assertThat(data).containsExactly("{\"a\":1}", "second", "");
  }

  @Test
  void aLineBeyondTheBoundIsRefused() {
    ByteBuffer line = ByteBuffer.wrap("data: 0123456789".getBytes(StandardCharsets.UTF_8));
    assertThatThrownBy(() -> parser(10).accept(line))
        .isInstanceOf(ServerSentEventParser.EventTooLongException.class);
  }
}

package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.node.json.MalformedMessageException;
import org.junit.jupiter.api.Test;

/**
 * Guards against decoding unchanged rows again, against serving a stale cached row, and against one
 * row that makes the whole table unreadable.
 */
class DecodedRowsTest {

  private static final String FAULTY = "faulty";
  private static final String DEEP = "deep";

  private final List<String> decoded = new ArrayList<>();
  private final DecodedRows<String> rows =
      new DecodedRows<>("engines", this::decode, new DecisionLog(new GatewayMetrics()));

  private String decode(FeedRow row) throws MalformedMessageException {
    decoded.add(row.key() + row.position().version());
    return switch (row.value()) {
      case "" -> throw new MalformedMessageException("empty", null);
      case FAULTY -> throw new ArithmeticException("long overflow");
      case DEEP -> throw new StackOverflowError();
      default -> row.value();
    };
  }

  private static FeedRow row(String key, long version, String value) {
    return new FeedRow(key, at(version), value, false);
  }

  private static StorePosition at(long version) {
    return new StorePosition(1, version);
  }

  @Test
  void decodesEachVersionOfARowOnce() {
    assertThat(rows.read(List.of(row("a", 1, "x"), row("b", 2, "")))).containsExactly("x");
    assertThat(rows.read(List.of(row("a", 1, "x"), row("b", 2, "")))).containsExactly("x");
    assertThat(rows.read(List.of(row("a", 3, "y"), row("b", 2, "")))).containsExactly("y");
    assertThat(decoded).containsExactly("a1", "b2", "a3");
  }

  @Test
  void decodesARowAgainAfterItWasGone() {
    rows.read(List.of(row("a", 1, "x")));
    assertThat(rows.read(List.of())).isEmpty();
    assertThat(rows.read(List.of(row("a", 1, "x")))).containsExactly("x");
    assertThat(decoded).containsExactly("a1", "a1");
  }

  @Test
  void faultOfTheDecoderCostsOnlyItsRow() {
    assertThat(rows.read(List.of(row("a", 1, FAULTY), row("b", 2, DEEP), row("c", 3, "x"))))
        .containsExactly("x");
    assertThat(rows.read(List.of(row("a", 4, "y"), row("b", 2, DEEP), row("c", 3, "x"))))
        .containsExactly("y", "x");
    assertThat(decoded).containsExactly("a1", "b2", "c3", "a4");
  }
}

package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Guards against an event that is missing on the operators' page of log lines. */
class LogPageTest {

  @Test
  void pageNamesEveryEvent() throws IOException {
    String page = Files.readString(Path.of("..", "docs", "operations", "logs.md"));
    assertThat(Arrays.stream(LogEvent.values()).map(Enum::name))
        .allSatisfy(event -> assertThat(page).containsPattern("\\b" + event + "\\b"));
  }
}

package org.fallturn.node.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {

  @Test
  void everyMistakeIsNamedWithLineFieldAndWhatIsAllowed() {
    String text =
        """
        [lease]
        duration = "1h"
        durration = "3s"

        [callers]
        max_threads = "many"
        listen = "nowhere"
        """;

    List<SettingMistake> mistakes = NodeSettings.reader().toml("node.toml", text).mistakes();

    assertThat(mistakes)
        .extracting(mistake -> mistake.line() + " " + mistake.field())
        .containsExactly(
            "2 lease.duration", "3 lease.durration", "6 callers.max_threads", "7 callers.listen");
    assertThat(mistakes.get(0).toString())
        .startsWith("node.toml:2: lease.duration: value not allowed: 1h")
        .endsWith("from 200ms to 10m");
    assertThat(mistakes.get(1).allowed()).contains("lease.duration").doesNotContain("callers.");
  }

  @Test
  void textThatIsNotTomlIsAMistakeWithItsLine() {
    List<SettingMistake> mistakes =
        NodeSettings.reader().toml("node.toml", "[node]\nid = \n").mistakes();

    assertThat(mistakes).isNotEmpty();
    assertThat(mistakes.get(0).line()).isEqualTo(2);
  }

  @Test
  void aFlagWinsOverTheFile() throws SettingsException {
    SettingValues values =
        NodeSettings.reader()
            .toml("node.toml", "[lease]\nduration = \"8s\"\nrenew_interval = \"1s\"\n")
            .flags(Map.of("lease.duration", "9s", "tls.keystore_file", "a.p12"))
            .values();

    NodeSettings settings = NodeSettings.from(values);

    assertThat(settings.lease().duration()).isEqualTo(Duration.ofSeconds(9));
    assertThat(settings.lease().renewInterval()).isEqualTo(Duration.ofSeconds(1));
    assertThat(settings.tls().keystoreFile()).isEqualTo("a.p12");
  }

  @Test
  void unknownFlagsAreRefused() {
    SettingsReader reader = NodeSettings.reader().flags(Map.of("lease.colour", "blue"));

    assertThatThrownBy(reader::values)
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining("flags: lease.colour: no such setting");
  }

  @Test
  void everyDefaultIsWithinItsOwnBounds() {
    assertThat(NodeSettings.definitions())
        .allSatisfy(
            definition ->
                assertThat(definition.fromText(definition.defaultText()))
                    .as(definition.key())
                    .hasValueSatisfying(
                        value -> assertThat(value).isEqualTo(definition.defaultValue())));
  }
}

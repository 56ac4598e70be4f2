package org.fallturn.node.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;

class TomlTextTest {

  @Test
  void fieldsComeInTheirOrderWithTheirTypes() throws Exception {
    TomlText toml =
        TomlText.parse("[b]\nname = \"x\" # comment\ncount = 3\n\n[a.c]\nratio = 0.5\non = true\n");
    assertThat(toml.fields())
        .extracting(TomlText.Field::key)
        .containsExactly("b.name", "b.count", "a.c.ratio", "a.c.on");
    assertThat(toml.fields().get(0).value()).isEqualTo("x");
    assertThat(((Number) toml.fields().get(1).value()).intValue()).isEqualTo(3);
    assertThat(((Number) toml.fields().get(2).value()).doubleValue()).isEqualTo(0.5);
    assertThat(toml.fields().get(3).value()).isEqualTo(Boolean.TRUE);
  }

  @Test
  void linesAreFoundAlsoWhereSectionsRepeatAName() throws Exception {
    TomlText toml = TomlText.parse("[a]\nname = \"x\"\n\n[b]\nname=\"y\"\n");
    assertThat(toml.line("a.name")).isEqualTo(2);
    assertThat(toml.line("b.name")).isEqualTo(5);
    assertThat(toml.line("c.name")).isZero();
  }

  @Test
  void arrayIsAValueThatNoSettingTakes() {
    List<SettingMistake> mistakes =
        NodeSettings.reader().toml("node.toml", "[node]\nid = [\"a\", \"b\"]\n").mistakes();
    assertThat(mistakes).hasSize(1);
    assertThat(mistakes.get(0).line()).isEqualTo(2);
    assertThat(mistakes.get(0).field()).isEqualTo("node.id");
  }

  @Test
  void sameFieldTwiceIsMalformed() {
    assertThatThrownBy(() -> TomlText.parse("[a]\nname = \"x\"\nname = \"y\"\n"))
        .isInstanceOf(TomlText.MalformedTomlException.class);
  }
}

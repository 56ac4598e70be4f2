package org.fallturn.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** A content is known again whatever id it bears, and no other is taken for it. */
class RequestContentTest {

  private static final RequestFingerprint KNOWN = fingerprint("POST host/a", "caller", "body");

  private static RequestFingerprint fingerprint(String target, String caller, String body) {
    return new RequestContent(target, caller, body.getBytes(StandardCharsets.UTF_8)).fingerprint();
  }

  @Test
  void equalContentsHaveEqualFingerprints() {
    assertThat(fingerprint("POST host/a", "caller", "body")).isEqualTo(KNOWN);
  }

  @Test
  void anyOtherContentHasAnother() {
    assertThat(fingerprint("POST host/b", "caller", "body")).isNotEqualTo(KNOWN);
    assertThat(fingerprint("POST host/a", "another", "body")).isNotEqualTo(KNOWN);
    assertThat(fingerprint("POST host/a", "caller", "bodz")).isNotEqualTo(KNOWN);
    assertThat(fingerprint("POST host/a", "calle", "rbody")).isNotEqualTo(KNOWN);
  }

  @Test
  void textIsReadAgain() {
    assertThat(RequestFingerprint.parse(KNOWN.toString())).isEqualTo(KNOWN);
  }

  @Test
  void otherTextIsRefusedByName() {
    assertThatThrownBy(() -> RequestFingerprint.parse("short"))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("short");
  }
}

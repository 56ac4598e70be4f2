package org.fallturn.core.configuration;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.junit.jupiter.api.Test;

class ChangeValidatorTest {

  @Test
  void referencesWithinOneChangeHold() {
    assertThatCode(
            () ->
                put(
                    ConfigurationImage.EMPTY,
                    Records.rule("alava", "suggest"),
                    Records.tenant("alava"),
                    Records.service("suggest"),
                    Records.apiKey("alava", 'a')))
        .doesNotThrowAnyException();
  }

  @Test
  void ruleOfAbsentServiceNamesRuleAndService() {
    assertThatThrownBy(
            () -> put(Records.image(Records.tenant("alava")), Records.rule("alava", "suggest")))
        .hasMessageContaining("rule 'alava/suggest'")
        .hasMessageContaining("service 'suggest'");
  }

  @Test
  void tenantInUseCannotBeRemoved() {
    ConfigurationImage image = Records.image(Records.tenant("alava"), Records.apiKey("alava", 'a'));
    ConfigurationDelta removal =
        Records.delta(2, "x", List.of(), List.of(new RecordKey(RecordKey.TENANT, "alava")));

    assertThatThrownBy(() -> ChangeValidator.validate(image, removal))
        .hasMessageContaining("api-key 'first' needs tenant 'alava'");
  }

  @Test
  void boundsNameColumnAndRange() {
    assertThatThrownBy(() -> put(ConfigurationImage.EMPTY, Records.tenant("alava", -1)))
        .hasMessageContaining("tenant 'alava': requests_per_second must be 0 to 1000000000000");
    assertThatThrownBy(() -> put(ConfigurationImage.EMPTY, Records.tenant("alava", Double.NaN)))
        .hasMessageContaining("but is NaN");
    assertThatThrownBy(() -> put(ConfigurationImage.EMPTY, Records.tenant("a/b")))
        .hasMessageContaining("tenant must be 1 to 64 letters");
  }

  @Test
  void defaultDeadlineMustNotPassLongest() {
    ServiceRecord service =
        new ServiceRecord(
            new ServiceName("stock"), new ServiceRecord.ApplicationTarget(), false, 2_000, 1_000);

    assertThatThrownBy(() -> put(ConfigurationImage.EMPTY, service))
        .hasMessageContaining("default_deadline_ms must be 1 to 1000, but is 2000");
  }

  @Test
  void plainTextKeyIsRefused() {
    ApiKeyRecord plain = new ApiKeyRecord("secret", new TenantName("alava"), "first");

    assertThatThrownBy(() -> put(Records.image(Records.tenant("alava")), plain))
        .hasMessageContaining("SHA-256");
  }

  @Test
  void lastOperatorCannotLockEverybodyOut() {
    ConfigurationImage image =
        Records.image(Records.operator("ana", 'a', OperatorRecord.Role.OPERATOR));

    assertThatThrownBy(() -> put(image, Records.operator("ana", 'a', OperatorRecord.Role.VIEWER)))
        .hasMessageContaining("at least one must stay");
    assertThatThrownBy(() -> put(image, Records.operator("bea", 'a', OperatorRecord.Role.OPERATOR)))
        .hasMessageContaining("same key");
  }

  private static void put(ConfigurationImage image, ConfigurationRecord... records)
      throws Exception {
    ChangeValidator.validate(image, Records.delta(image.version() + 1, records));
  }
}

package org.fallturn.rehearsal.workload;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WorkloadFileTest {
  private static final String SMALL =
      """
      name = "small"
      duration_s = 60
      [deployment]
      region = "r"
      zones = ["z"]
      models = ["m"]
      engines = 4
      nodes = 2
      zone_latency_us = 100
      client_latency_us = 200
      role_change_weight = 0
      min_prefill = 1
      min_decode = 1
      max_changing = 1
      [[class]]
      service = "s"
      tenants = ["t"]
      urgency = "high"
      deadline_ms = 1000
      prompt = { median = 10, sigma = 0.5, max = 100 }
      output = { median = 10, sigma = 0.5, max = 100 }
      [mix.a]
      s = 5
      [mix.b]
      s = 10
      [[shift]]
      name = "step"
      kind = "step"
      from = "a"
      to = "b"
      start_s = [10, 20]
      """;

  @ParameterizedTest
  @CsvSource({"alava, 8, 4, 6", "guatemala, 13, 3, 6", "zone-scale, 450, 1, 2"})
  void readsTheBuiltInWorkloads(String name, int engines, int zones, int shifts) throws Exception {
    Workload workload = WorkloadFile.builtIn(name);

    assertThat(workload.deployment().engines()).isEqualTo(engines);
    assertThat(workload.deployment().zones()).hasSize(zones);
    assertThat(workload.shifts()).hasSize(shifts);
  }

  @Test
  void readsASmallWorkload() throws Exception {
    Workload workload = WorkloadFile.parse(SMALL);

    assertThat(workload.mixes().get(1).requestsPerSecond()).containsExactly(10.0);
    assertThat(workload.shift("step").orElseThrow().startSeconds())
        .isEqualTo(new NumberRange(10, 20));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "engines = 4 | engines = 1 | 7 | deployment.engines",
        "urgency = \"high\" | urgency = \"higher\" | 18 | class[0].urgency",
        "s = 5 | other = 5 | 23 | mix.a.other",
        "from = \"a\" | from = \"c\" | 29 | shift[0].from",
        "start_s = [10, 20] | start_s = [20, 10] | 31 | shift[0].start_s",
        "sigma = 0.5, max = 100 } | sigma = 0.5, max = 9 } | 20 | class[0].prompt.median",
      })
  void namesLineAndFieldOfAMistake(String right, String wrong, int line, String field) {
    WorkloadFileException failure =
        catchThrowableOfType(
            WorkloadFileException.class, () -> WorkloadFile.parse(SMALL.replace(right, wrong)));

    assertThat(failure.problems())
        .anySatisfy(
            problem -> {
              assertThat(problem.line()).isEqualTo(line);
              assertThat(problem.field()).isEqualTo(field);
            });
  }

  @Test
  void reportsASyntaxMistakeWithItsLine() {
    assertThatThrownBy(() -> WorkloadFile.parse("name = \"x\"\nengines 4\n"))
        .isInstanceOf(WorkloadFileException.class)
        .hasMessageContaining("line 2");
  }
}

package org.fallturn.rehearsal.workload;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.domain.ZoneName;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/** Reads workload files and names the line and field of each mistake. Thread-safe. */
public final class WorkloadFile {
  private static final NumberRange ONCE = NumberRange.of(1);
  private static final String RESOURCE_FOLDER = "/org/fallturn/rehearsal/workload/";

  private final List<WorkloadProblem> problems = new ArrayList<>();

  private WorkloadFile() {}

  /** Reads a file. */
  public static Workload read(Path file) throws IOException, WorkloadFileException {
    return parse(Files.readString(file));
  }

  /** Reads one of the workloads that come with the program, for example {@code alava}. */
  public static Workload builtIn(String name) throws IOException, WorkloadFileException {
    try (InputStream stream =
        WorkloadFile.class.getResourceAsStream(RESOURCE_FOLDER + name + ".toml")) {
      if (stream == null) {
        throw new IOException("there is no built-in workload of the name " + name);
      }
      return parse(new String(stream.readAllBytes(), StandardCharsets.UTF_8));
    }
  }

  /** Reads the text of a file. */
  public static Workload parse(String text) throws WorkloadFileException {
    WorkloadFile file = new WorkloadFile();
    TomlParseResult parsed = Toml.parse(text);
    parsed
        .errors()
        .forEach(
            error ->
                file.problems.add(
                    new WorkloadProblem(error.position().line(), "", error.getMessage())));
    file.failOnProblems();
    Workload workload = file.workload(new TableReader(parsed, 1, "", file.problems), parsed);
    file.failOnProblems();
    return workload;
  }

  private void failOnProblems() throws WorkloadFileException {
    if (!problems.isEmpty()) {
      throw new WorkloadFileException(problems);
    }
  }

  private Workload workload(TableReader root, TomlTable table) {
    List<TrafficClass> classes = tables(root, table, "class", this::trafficClass);
    List<Mix> mixes = mixes(root.child("mix"), classes);
    List<MixShift> shifts = tables(root, table, "shift", reader -> shift(reader, mixes));
    Workload workload =
        new Workload(
            root.text("name"),
            deployment(root.child("deployment")),
            root.number("duration_s", 1),
            root.range("rate_factor", ONCE),
            root.number("balanced_prefill_share", 0, MixFeedback.NONE.prefillShare()),
            classes,
            mixes,
            shifts);
    root.rejectOthers();
    return workload;
  }

  private <T> List<T> tables(
      TableReader root, TomlTable table, String field, Function<TableReader, T> reader) {
    List<T> results = new ArrayList<>();
    if (!root.has(field) || !(table.get(field) instanceof TomlArray array)) {
      root.problem(field, "needs at least one [[" + field + "]]");
      return results;
    }
    for (int index = 0; index < array.size(); index++) {
      String path = field + "[" + index + "].";
      int line = array.inputPositionOf(index).line();
      if (array.get(index) instanceof TomlTable entry) {
        TableReader entryReader = new TableReader(entry, line, path, problems);
        results.add(reader.apply(entryReader));
        entryReader.rejectOthers();
      } else {
        problems.add(new WorkloadProblem(line, path, "must be a table"));
      }
    }
    return results;
  }

  private TrafficClass trafficClass(TableReader reader) {
    return new TrafficClass(
        new ServiceName(nonBlank(reader, "service")),
        reader.texts("tenants").stream().map(TenantName::new).toList(),
        reader.constant("urgency", Urgency.class, Urgency.NORMAL),
        reader.whole("deadline_ms", 1),
        lengths(reader.child("prompt")),
        lengths(reader.child("output")),
        reader.whole("shared_prefix_tokens", 0, 0),
        reader.whole("shared_prefixes", 1, 1),
        reader.number("arrival_variation", 0.1, 1));
  }

  private LengthDistribution lengths(TableReader reader) {
    int median = reader.whole("median", 1);
    double sigma = reader.number("sigma", 0);
    int min = reader.whole("min", 1, 1);
    int max = reader.whole("max", 1);
    reader.rejectOthers();
    if (min > median || median > max) {
      reader.problem("median", "must lie between min and max");
      return new LengthDistribution(1, 0, 1, 1);
    }
    return new LengthDistribution(median, sigma, min, max);
  }

  private List<Mix> mixes(TableReader reader, List<TrafficClass> classes) {
    List<Mix> mixes = new ArrayList<>();
    for (String name : reader.fields()) {
      TableReader rates = reader.child(name);
      List<Double> perClass = new ArrayList<>();
      for (TrafficClass traffic : classes) {
        perClass.add(rates.number(traffic.service().value(), 0, 0));
      }
      rates.rejectOthers();
      mixes.add(new Mix(name, perClass));
    }
    return mixes;
  }

  private MixShift shift(TableReader reader, List<Mix> mixes) {
    return new MixShift(
        reader.text("name"),
        reader.constant("kind", MixShift.Kind.class, MixShift.Kind.STEP),
        mixIndex(reader, "from", mixes),
        mixIndex(reader, "to", mixes),
        reader.range("start_s", NumberRange.of(0)),
        reader.range("length_s", ONCE),
        reader.range("period_s", ONCE));
  }

  private static int mixIndex(TableReader reader, String field, List<Mix> mixes) {
    String name = reader.text(field);
    for (int index = 0; index < mixes.size(); index++) {
      if (mixes.get(index).name().equals(name)) {
        return index;
      }
    }
    reader.problem(field, "names no [mix." + name + "]");
    return 0;
  }

  private static Deployment deployment(TableReader reader) {
    Deployment deployment =
        new Deployment(
            new RegionName(nonBlank(reader, "region")),
            reader.texts("zones").stream().map(ZoneName::new).toList(),
            reader.texts("models").stream().map(ModelName::new).toList(),
            reader.whole("engines", 2),
            reader.whole("nodes", 1),
            reader.whole("zone_latency_us", 0),
            reader.whole("client_latency_us", 0),
            reader.number("role_change_weight", 0),
            reader.whole("min_prefill", 0),
            reader.whole("min_decode", 0),
            reader.whole("max_changing", 1),
            reader.range("role_change_s", NumberRange.of(4)));
    reader.rejectOthers();
    return deployment;
  }

  private static String nonBlank(TableReader reader, String field) {
    String text = reader.text(field);
    return text.isBlank() ? "unnamed" : text;
  }
}

package org.fallturn.node.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.StringJoiner;
import java.util.function.Predicate;
import org.fallturn.core.dispatch.CacheListing;
import org.fallturn.core.dispatch.EngineDigest;
import org.fallturn.core.dispatch.LearnedSpeed;
import org.fallturn.core.dispatch.LoadDigest;
import org.fallturn.core.dispatch.PlacedPrompt;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.limits.AnnouncedLimitDigest;
import org.fallturn.core.limits.BudgetDigest;
import org.fallturn.core.limits.LimitDigest;
import org.fallturn.core.limits.RateDigest;
import org.fallturn.core.pace.RecentPace;
import org.fallturn.core.peers.KnownPeer;
import org.fallturn.core.peers.KnownVersions;
import org.fallturn.core.peers.MessageKind;
import org.fallturn.core.peers.PeerInfo;
import org.fallturn.core.peers.PeerMessage;
import org.fallturn.core.quarantine.CrashReport;
import org.fallturn.core.streams.StreamOrigin;
import org.fallturn.core.streams.StreamReport;
import org.fallturn.core.usage.UsageCounts;
import org.fallturn.node.json.MalformedMessageException;

/**
 * Encodes and decodes the messages between nodes. They are JSON with keys of one letter to be
 * short, since every node of a fleet receives ten a second. A message:
 *
 * <pre>
 * {"k":"VIEW","a":"10.1.0.35:7660","z":"zone-1","c":8000,      kind; address, zone, capacity
 *  "n":"edge-1","i":17,"s":5,"m":95,"f":"edge-1",     node, incarnation, sequence, number of nodes,
 *                                          first node that may order stage changes
 *  "e":{"i-7f":"2,0,1,0,120,0,0,500"},     engines: running, streams, suspecting, changing, ms
 *                                          since the last sign of life, waiting tokens by urgency
 *  "h":300,                                tokens of the longest waiting prompt; left out if no
 *                                          engine has more than one
 *  "d":{"i-7f":2},                         leaving engines: number of nodes that know
 *  "b":{"i-7f":"1,32,0,8,2.2,40,-1"},      limits: nodes, weight, held, sent; requests per second,
 *                                          ms since announced, ms since ended
 *  "g":{"i-7f":"131,24"},                  paces: time in percent of the usual, tenths of samples
 *  "o":{"llm":"3,350,9,4,140"},            retry budgets: nodes, requests, used, wanted, kept
 *  "p":["i-7f 12 5c1e:800 91bd:410"],      prompts: engine, ready in ms, parts and their tokens
 *  "v":{"llm":0.02},                       ms per token, by service
 *  "l":["i-7f 40 500 5c1e:800"],           listings: engine, age in ms, least tokens, parts
 *  "q":["1f0a9c4e-77 0 300 -1 true i-7f:12:true"], contents that may crash engines: fingerprint; ms
 *                                     since it was last sent or crashed an engine, was confirmed,
 *                                     was answered well; stored; crashes: engine, ms ago, gone
 *  "Q":["part-1f0a9c4e-77 ..."],           parts of prompts that may crash engines, likewise, under
 *                                     a key of their own, since earlier builds can't read them
 *  "r":["10.1.0.36:7660 zone-1 8000 90"],  relays: address, zone, capacity, ms since last message
 *  "t":{"routing":57},                     newest change that any node has seen, by table
 *  "y":2,                                  era of the store to which the versions in "t" belong
 *  "u":{"353445120":{"bakery":4}},         requests that began to run, by window and tenant
 *  "j":{...}, "J":[...],                   streams, see {@link StreamReportCodec}
 *  "w":true}                               the sender asks for listings
 * </pre>
 *
 * <p>Empty and false values are left out; unknown keys are ignored. Thread-safe.
 */
final class PeerCodec {

  private static final int TYPICAL_BYTES = 2_048;
  private static final int FIXED_DIGEST_FIELDS = 5;
  private static final int FIXED_PROMPT_FIELDS = 2;
  private static final int FIXED_LISTING_FIELDS = 3;

  private final JsonFactory json = new JsonFactory();

  byte[] encode(PeerMessage message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(TYPICAL_BYTES);
    try (JsonGenerator out = json.createGenerator(bytes)) {
      write(out, message);
    } catch (IOException e) {
      throw new IllegalStateException("cannot write a message to memory", e);
    }
    return bytes.toByteArray();
  }

  private static void write(JsonGenerator out, PeerMessage message) throws IOException {
    LoadDigest load = message.load();
    out.writeStartObject();
    out.writeStringField("k", message.kind().name());
    out.writeStringField("a", message.sender().address().toString());
    out.writeStringField("z", message.sender().zone());
    out.writeNumberField("c", message.sender().capacity());
    out.writeStringField("n", load.node());
    out.writeNumberField("i", load.incarnation());
    out.writeNumberField("s", load.sequence());
    out.writeNumberField("m", load.nodes());
    out.writeStringField("f", load.firstNode());
    writeEngines(out, load.engines());
    writeLongestPrompt(out, load.engines());
    writeLeaving(out, load.engines());
    writeLimits(out, load.engines());
    writePaces(out, load.engines());
    writeBudgets(out, load.budgets());
    writeSpeeds(out, load.speeds());
    writeTexts(out, "p", load.prompts().stream().map(PeerCodec::text).toList());
    writeTexts(out, "l", message.listings().stream().map(PeerCodec::text).toList());
    writeCrashes(out, "q", message.crashes(), report -> !report.content().isPart());
    writeCrashes(out, "Q", message.crashes(), report -> report.content().isPart());
    writeTexts(out, "r", message.relays().stream().map(PeerCodec::text).toList());
    writeTables(out, message.tables());
    if (message.usage().isPresent()) {
      writeUsage(out, message.usage().get());
    }
    StreamReportCodec.write(out, message.streams());
    if (message.wantsListings()) {
      out.writeBooleanField("w", true);
    }
    out.writeEndObject();
  }

  private static void writeCrashes(
      JsonGenerator out, String key, List<CrashReport> crashes, Predicate<CrashReport> included)
      throws IOException {
    writeTexts(out, key, crashes.stream().filter(included).map(CrashReportText::write).toList());
  }

  private static void writeEngines(JsonGenerator out, Map<String, EngineDigest> engines)
      throws IOException {
    if (engines.isEmpty()) {
      return;
    }
    out.writeObjectFieldStart("e");
    for (Map.Entry<String, EngineDigest> engine : engines.entrySet()) {
      out.writeStringField(engine.getKey(), text(engine.getValue()));
    }
    out.writeEndObject();
  }

  /** One length for all engines, since a length for each would make messages a fifth longer. */
  private static void writeLongestPrompt(JsonGenerator out, Map<String, EngineDigest> engines)
      throws IOException {
    if (engines.values().stream().anyMatch(EngineDigest::hasSeveralPrompts)) {
      long longest =
          engines.values().stream().mapToLong(EngineDigest::longestPrompt).max().orElse(0);
      out.writeNumberField("h", longest);
    }
  }

  private static void writeLeaving(JsonGenerator out, Map<String, EngineDigest> engines)
      throws IOException {
    if (engines.values().stream().noneMatch(engine -> engine.leaving() > 0)) {
      return;
    }
    out.writeObjectFieldStart("d");
    for (Map.Entry<String, EngineDigest> engine : engines.entrySet()) {
      if (engine.getValue().leaving() > 0) {
        out.writeNumberField(engine.getKey(), engine.getValue().leaving());
      }
    }
    out.writeEndObject();
  }

  private static void writeLimits(JsonGenerator out, Map<String, EngineDigest> engines)
      throws IOException {
    if (engines.values().stream().allMatch(engine -> engine.limit().isNegligible())) {
      return;
    }
    out.writeObjectFieldStart("b");
    for (Map.Entry<String, EngineDigest> engine : engines.entrySet()) {
      if (!engine.getValue().limit().isNegligible()) {
        out.writeStringField(engine.getKey(), text(engine.getValue().limit()));
      }
    }
    out.writeEndObject();
  }

  private static void writePaces(JsonGenerator out, Map<String, EngineDigest> engines)
      throws IOException {
    if (engines.values().stream().allMatch(engine -> engine.pace().isNegligible())) {
      return;
    }
    out.writeObjectFieldStart("g");
    for (Map.Entry<String, EngineDigest> engine : engines.entrySet()) {
      RecentPace pace = engine.getValue().pace();
      if (!pace.isNegligible()) {
        out.writeStringField(engine.getKey(), pace.percent() + "," + pace.tenthsOfSamples());
      }
    }
    out.writeEndObject();
  }

  private static void writeBudgets(JsonGenerator out, Map<String, BudgetDigest> budgets)
      throws IOException {
    if (budgets.isEmpty()) {
      return;
    }
    out.writeObjectFieldStart("o");
    for (Map.Entry<String, BudgetDigest> budget : budgets.entrySet()) {
      out.writeStringField(budget.getKey(), text(budget.getValue()));
    }
    out.writeEndObject();
  }

  /**
   * Writes speeds in single precision, since parsing all digits of a double takes longer than
   * parsing the rest of the message.
   */
  private static void writeSpeeds(JsonGenerator out, Map<String, LearnedSpeed> speeds)
      throws IOException {
    if (speeds.isEmpty()) {
      return;
    }
    out.writeObjectFieldStart("v");
    for (Map.Entry<String, LearnedSpeed> speed : speeds.entrySet()) {
      out.writeNumberField(speed.getKey(), (float) speed.getValue().tokenMillis());
    }
    out.writeEndObject();
  }

  private static void writeTables(JsonGenerator out, KnownVersions tables) throws IOException {
    if (tables.era() > 0) {
      out.writeNumberField("y", tables.era());
    }
    if (tables.versions().isEmpty()) {
      return;
    }
    out.writeObjectFieldStart("t");
    for (Map.Entry<String, Long> table : tables.versions().entrySet()) {
      out.writeNumberField(table.getKey(), table.getValue());
    }
    out.writeEndObject();
  }

  private static void writeUsage(JsonGenerator out, UsageCounts usage) throws IOException {
    out.writeObjectFieldStart("u");
    for (Map.Entry<Long, Map<String, Integer>> window : usage.counts().entrySet()) {
      out.writeObjectFieldStart(window.getKey().toString());
      for (Map.Entry<String, Integer> count : window.getValue().entrySet()) {
        out.writeNumberField(count.getKey(), count.getValue());
      }
      out.writeEndObject();
    }
    out.writeEndObject();
  }

  private static void writeTexts(JsonGenerator out, String key, List<String> texts)
      throws IOException {
    if (texts.isEmpty()) {
      return;
    }
    out.writeArrayFieldStart(key);
    for (String text : texts) {
      out.writeString(text);
    }
    out.writeEndArray();
  }

  private static String text(EngineDigest engine) {
    StringBuilder text = new StringBuilder();
    text.append(engine.running()).append(',').append(engine.streams()).append(',');
    text.append(engine.suspecting()).append(',').append(engine.changing()).append(',');
    text.append(engine.heardAgoMillis());
    engine.waitingTokens().forEach(tokens -> text.append(',').append(tokens));
    return text.toString();
  }

  private static String text(LimitDigest limit) {
    RateDigest rate = limit.rate();
    AnnouncedLimitDigest announced = limit.announced();
    StringJoiner text = new StringJoiner(",");
    for (int number : new int[] {rate.nodes(), rate.weight(), rate.held(), rate.sent()}) {
      text.add(Integer.toString(number));
    }
    text.add(Double.toString(announced.perSecond()));
    text.add(Integer.toString(announced.announcedAgoMillis()))
        .add(Integer.toString(announced.endedAgoMillis()));
    return text.toString();
  }

  private static String text(BudgetDigest budget) {
    StringJoiner text = new StringJoiner(",");
    text.add(Integer.toString(budget.nodes())).add(Integer.toString(budget.requests()));
    text.add(Integer.toString(budget.used())).add(Integer.toString(budget.wanted()));
    text.add(Integer.toString(budget.kept()));
    return text.toString();
  }

  private static String text(PlacedPrompt prompt) {
    return prompt.engineId()
        + ' '
        + prompt.readyInMillis()
        + PromptPartText.writeBeginning(prompt.parts());
  }

  private static String text(CacheListing listing) {
    return listing.engineId()
        + ' '
        + listing.ageMillis()
        + ' '
        + listing.leastTokens()
        + PromptPartText.writeAll(listing.parts());
  }

  private static String text(KnownPeer peer) {
    PeerInfo info = peer.info();
    return info.address() + " " + info.zone() + " " + info.capacity() + " " + peer.ageMillis();
  }

  PeerMessage decode(byte[] bytes) throws MalformedMessageException {
    Fields fields = new Fields();
    try (JsonParser in = json.createParser(bytes)) {
      fields.read(in);
      return fields.message();
    } catch (IOException | IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new MalformedMessageException("not a message between nodes: " + e.getMessage(), e);
    }
  }

  /** Parses one message: collects its fields, from which {@link #message} builds it. */
  private static final class Fields {

    private final Map<String, String> scalars = new HashMap<>();
    private final Map<String, EngineDigest> engines = new HashMap<>();
    private final Map<String, Integer> leaving = new HashMap<>();
    private final Map<String, LimitDigest> limits = new HashMap<>();
    private final Map<String, RecentPace> paces = new HashMap<>();
    private final Map<String, BudgetDigest> budgets = new HashMap<>();
    private final Map<String, LearnedSpeed> speeds = new HashMap<>();
    private final List<PlacedPrompt> prompts = new ArrayList<>();
    private final List<CacheListing> listings = new ArrayList<>();
    private final List<CrashReport> crashes = new ArrayList<>();
    private final List<KnownPeer> relays = new ArrayList<>();
    private final Map<String, Long> tables = new HashMap<>();
    private long era;
    private final Map<Long, Map<String, Integer>> usage = new HashMap<>();
    private Map<String, Map<String, Integer>> versions = Map.of();
    private List<StreamOrigin> origins = List.of();

    void read(JsonParser in) throws IOException {
      if (in.nextToken() != JsonToken.START_OBJECT) {
        throw new IllegalArgumentException("not a JSON object");
      }
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String key = in.currentName();
        in.nextToken();
        readField(key, in);
      }
      if (in.currentToken() != JsonToken.END_OBJECT) {
        throw new IllegalArgumentException("message is truncated");
      }
    }

    private void readField(String key, JsonParser in) throws IOException {
      switch (key) {
        case "e" -> readEngines(in);
        case "d" -> readLeaving(in);
        case "b" -> readLimits(in);
        case "g" -> readPaces(in);
        case "o" -> readBudgets(in);
        case "v" -> readSpeeds(in);
        case "t" -> readTables(in);
        case "y" -> era = in.getLongValue();
        case "u" -> readUsage(in);
        case StreamReportCodec.VERSIONS_KEY -> versions = StreamReportCodec.readVersions(in);
        case StreamReportCodec.ORIGINS_KEY -> origins = StreamReportCodec.readOrigins(in);
        case "p" -> texts(in).forEach(text -> prompts.add(prompt(text)));
        case "l" -> texts(in).forEach(text -> listings.add(listing(text)));
        case "q", "Q" -> texts(in).forEach(text -> crashes.add(CrashReportText.read(text)));
        case "r" -> texts(in).forEach(text -> relays.add(peer(text)));
        default -> {
          if (in.currentToken().isScalarValue()) {
            scalars.put(key, in.getText());
          } else {
            in.skipChildren();
          }
        }
      }
    }

    private void readEngines(JsonParser in) throws IOException {
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String id = in.currentName();
        in.nextToken();
        engines.put(id, digest(in.getText().split(",")));
      }
    }

    private void readLeaving(JsonParser in) throws IOException {
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String id = in.currentName();
        in.nextToken();
        leaving.put(id, in.getIntValue());
      }
    }

    private void readLimits(JsonParser in) throws IOException {
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String id = in.currentName();
        in.nextToken();
        limits.put(id, limit(in.getText().split(",")));
      }
    }

    private void readPaces(JsonParser in) throws IOException {
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String id = in.currentName();
        in.nextToken();
        String[] fields = in.getText().split(",");
        paces.put(id, RecentPace.of(Integer.parseInt(fields[0]), Integer.parseInt(fields[1])));
      }
    }

    private void readBudgets(JsonParser in) throws IOException {
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String service = in.currentName();
        in.nextToken();
        budgets.put(service, budget(in.getText().split(",")));
      }
    }

    private void readSpeeds(JsonParser in) throws IOException {
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String service = in.currentName();
        in.nextToken();
        speeds.put(service, new LearnedSpeed(in.getDoubleValue()));
      }
    }

    private void readTables(JsonParser in) throws IOException {
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String table = in.currentName();
        in.nextToken();
        tables.put(table, in.getLongValue());
      }
    }

    private void readUsage(JsonParser in) throws IOException {
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        Map<String, Integer> counts = new HashMap<>();
        usage.put(Long.parseLong(in.currentName()), counts);
        in.nextToken();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
          String tenant = in.currentName();
          in.nextToken();
          counts.put(tenant, in.getIntValue());
        }
      }
    }

    private static List<String> texts(JsonParser in) throws IOException {
      List<String> texts = new ArrayList<>();
      while (in.nextToken() != JsonToken.END_ARRAY) {
        if (in.currentToken() == null) {
          throw new IllegalArgumentException("message is truncated");
        }
        texts.add(in.getText());
      }
      return texts;
    }

    private static EngineDigest digest(String[] fields) {
      List<Long> waiting = new ArrayList<>();
      for (int field = FIXED_DIGEST_FIELDS; field < fields.length; field++) {
        waiting.add(Long.parseLong(fields[field]));
      }
      return new EngineDigest(
          Integer.parseInt(fields[0]),
          Integer.parseInt(fields[1]),
          waiting,
          Integer.parseInt(fields[2]),
          Integer.parseInt(fields[3]),
          Integer.parseInt(fields[4]));
    }

    private static LimitDigest limit(String[] fields) {
      RateDigest rate =
          new RateDigest(
              Integer.parseInt(fields[0]),
              Integer.parseInt(fields[1]),
              Integer.parseInt(fields[2]),
              Integer.parseInt(fields[3]));
      AnnouncedLimitDigest announced =
          new AnnouncedLimitDigest(
              Double.parseDouble(fields[4]),
              Integer.parseInt(fields[5]),
              Integer.parseInt(fields[6]));
      return new LimitDigest(rate, announced);
    }

    private static BudgetDigest budget(String[] fields) {
      return new BudgetDigest(
          Integer.parseInt(fields[0]),
          Integer.parseInt(fields[1]),
          Integer.parseInt(fields[2]),
          Integer.parseInt(fields[3]),
          Integer.parseInt(fields[4]));
    }

    private static PlacedPrompt prompt(String text) {
      String[] words = text.split(" ");
      return new PlacedPrompt(
          words[0], Integer.parseInt(words[1]), PromptPartText.read(words, FIXED_PROMPT_FIELDS));
    }

    private static CacheListing listing(String text) {
      String[] words = text.split(" ");
      return new CacheListing(
          words[0],
          Long.parseLong(words[1]),
          Integer.parseInt(words[2]),
          PromptPartText.read(words, FIXED_LISTING_FIELDS));
    }

    private static KnownPeer peer(String text) {
      String[] words = text.split(" ");
      PeerInfo info =
          new PeerInfo(NetworkAddress.parse(words[0]), words[1], Integer.parseInt(words[2]));
      return new KnownPeer(info, Long.parseLong(words[3]));
    }

    PeerMessage message() {
      if (scalars.containsKey("h")) {
        long longest = Long.parseLong(scalars.get("h"));
        engines.replaceAll((id, digest) -> digest.withLongestPrompt(longest));
      }
      leaving.forEach(
          (id, nodes) -> engines.computeIfPresent(id, (key, digest) -> digest.withLeaving(nodes)));
      limits.forEach(
          (id, limit) -> engines.computeIfPresent(id, (key, digest) -> digest.withLimit(limit)));
      paces.forEach(
          (id, pace) -> engines.computeIfPresent(id, (key, digest) -> digest.withPace(pace)));
      PeerInfo sender =
          new PeerInfo(
              NetworkAddress.parse(required("a")), required("z"), Integer.parseInt(required("c")));
      LoadDigest load =
          new LoadDigest(
              required("n"),
              Long.parseLong(required("i")),
              Long.parseLong(required("s")),
              Integer.parseInt(required("m")),
              required("f"),
              engines,
              prompts,
              speeds,
              budgets);
      MessageKind kind = MessageKind.valueOf(required("k"));
      boolean wantsListings = Boolean.parseBoolean(scalars.get("w"));
      return new PeerMessage(
          kind,
          sender,
          load,
          listings,
          crashes,
          relays,
          new KnownVersions(era, tables),
          kind == MessageKind.USAGE
              ? Optional.of(new UsageCounts(load.node(), load.incarnation(), usage))
              : Optional.empty(),
          new StreamReport(versions, origins),
          wantsListings);
    }

    private String required(String key) {
      String value = scalars.get(key);
      if (value == null) {
        throw new IllegalArgumentException("missing key " + key);
      }
      return value;
    }
  }
}

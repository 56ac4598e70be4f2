package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fallturn.core.dispatch.EngineDigest;
import org.fallturn.core.dispatch.LoadDigest;
import org.fallturn.core.limits.AnnouncedLimitDigest;
import org.fallturn.core.limits.BudgetDigest;
import org.fallturn.core.limits.LimitDigest;
import org.fallturn.core.limits.RateDigest;
import org.fallturn.core.pace.RecentPace;
import org.fallturn.core.peers.MessageKind;
import org.fallturn.core.peers.PeerMessage;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.node.json.JsonCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks that messages and tables of an earlier build are still understood, and that the earlier
 * build understands those of this one. During a rolling upgrade or a rollback nodes of two builds
 * run side by side. The files under {@code builds/} were written by the builds that they are named
 * after and never change. The formats may only be extended, by these rules:
 *
 * <ul>
 *   <li>New data gets a key of its own. The meaning and the form of a key never change, nor does
 *       the number of fields in a text of several fields, of which the last may be a list.
 *   <li>An absent key has a neutral default: a count is zero, a list is empty, a time is never. A
 *       duty must not stop because a key is absent.
 *   <li>An unknown key is ignored and so is not forwarded: data that must reach every node is
 *       either found out by each node itself or is in a row of the store.
 *   <li>A message of an unknown kind is dropped whole: new kinds may carry only data that nodes of
 *       earlier builds do not need.
 *   <li>Within an era of the store, the position of a table or a row alone says how new it is,
 *       whichever node sends it. What bears no era counts as of the earliest.
 * </ul>
 */
class EarlierBuildsTest {

  private static final String BUILD = "/builds/3a1ab74/";

  private final PeerCodec codec = new PeerCodec();
  private final ObjectMapper json = new ObjectMapper();

  private static byte[] recorded(String name) throws IOException {
    try (InputStream file = EarlierBuildsTest.class.getResourceAsStream(BUILD + name)) {
      return file.readAllBytes();
    }
  }

  /**
   * This build decodes a recorded message, and encodes it again to the same JSON, which the earlier
   * build reads as before.
   */
  @ParameterizedTest
  @EnumSource(MessageKind.class)
  void messagesOfAnEarlierBuildAreDecodedAndEncodedUnchanged(MessageKind kind) throws Exception {
    byte[] bytes = recorded("message-" + kind + ".json");
    PeerMessage message = codec.decode(bytes);
    assertThat(message.kind()).isEqualTo(kind);
    assertThat(message.load().engines().get("i-7f@1778333128186"))
        .isEqualTo(new EngineDigest(2, 1, List.of(0L, 500L), 1, 3, 120));
    assertThat(message.listings()).hasSize(1);
    assertThat(message.crashes()).hasSize(1);
    assertThat(message.relays()).hasSize(2);
    assertThat(message.tables().versions()).containsEntry("routing", 57L);
    assertThat(message.tables().era()).isZero();
    assertThat(message.usage().isPresent()).isEqualTo(kind == MessageKind.USAGE);
    assertThat(json.readTree(codec.encode(message))).isEqualTo(json.readTree(bytes));
  }

  /** A message with data that the earlier build does not know differs only by keys of its own. */
  @Test
  void newDataInAMessageHasItsOwnKeys() throws Exception {
    byte[] bytes = recorded("message-VIEW.json");
    PeerMessage message = codec.decode(bytes);
    Map<String, EngineDigest> engines = new HashMap<>(message.load().engines());
    LimitDigest limit =
        new LimitDigest(new RateDigest(3, 33, 1, 9), new AnnouncedLimitDigest(2.2, 40, 700));
    RecentPace pace = RecentPace.of(130, 24);
    engines.replaceAll((id, digest) -> digest.withLeaving(2).withLimit(limit).withPace(pace));
    LoadDigest load = message.load();
    PeerMessage later =
        new PeerMessage(
            message.kind(),
            message.sender(),
            new LoadDigest(
                load.node(),
                load.incarnation(),
                load.sequence(),
                load.nodes(),
                load.firstNode(),
                engines,
                load.prompts(),
                load.speeds(),
                Map.of("llm", new BudgetDigest(3, 350, 9, 4, 140))),
            message.listings(),
            message.crashes(),
            message.relays(),
            message.tables(),
            message.wantsListings());
    assertThat(codec.decode(codec.encode(later))).isEqualTo(later);
    JsonNode encoded = json.readTree(codec.encode(later));
    ((ObjectNode) encoded).remove(List.of("d", "b", "g", "o"));
    assertThat(encoded).isEqualTo(json.readTree(bytes));
  }

  @Test
  void tableOfAnEarlierBuildReplacesTheKnownTable() throws Exception {
    TableUpdate update = new JsonCodec().decode(recorded("table.json"), TableUpdate.class);
    FeedAnswer known =
        new FeedAnswer(
            List.of(new FeedRow("e-0", StorePosition.NONE.atVersion(3), "", false)),
            StorePosition.NONE.atVersion(3));
    FeedAnswer applied = update.appliedTo(known).orElseThrow();
    assertThat(applied.position().version()).isEqualTo(12);
    assertThat(applied.rows()).extracting(FeedRow::key).containsExactly("e-1", "e-2");
  }

  /** The earlier build reads rows and a version, and ignores other keys. */
  @Test
  void wholeTableHasTheFormThatAnEarlierBuildReads() throws Exception {
    FeedAnswer table =
        new JsonCodec().decode(recorded("table.json"), TableUpdate.class).asWholeTable();
    JsonNode encoded = json.readTree(new JsonCodec().encode(TableUpdate.whole(table)));
    ((ObjectNode) encoded).remove(List.of("keys", "era"));
    assertThat(encoded).isEqualTo(json.readTree(recorded("table.json")));
  }
}

package org.fallturn.node.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.membership.GossipBody;
import org.fallturn.core.membership.GossipMessage;
import org.fallturn.core.membership.GossipPayload;
import org.fallturn.core.membership.Member;
import org.fallturn.node.json.JsonCodec;
import org.junit.jupiter.api.Test;

class DatagramCodecTest {

  private static final byte[] KEY = "secret".getBytes(StandardCharsets.UTF_8);
  private static final NodeId A = new NodeId("a");
  private static final NetworkAddress ADDRESS = new NetworkAddress("10.0.0.1", 7001);

  private final DatagramCodec codec = new DatagramCodec(new JsonCodec(), KEY);

  @Test
  void everyPayloadAndBodyComesBackEqualAndAsLongAsForetold() throws Exception {
    for (GossipBody body : bodies()) {
      GossipMessage bare = new GossipMessage(A, 1, 2, new NodeId("b"), 3, 4, body, List.of());
      GossipMessage message = new GossipMessage(A, 1, 2, new NodeId("b"), 3, 4, body, payloads());
      byte[] datagram = codec.encode(message);
      assertThat(codec.decode(datagram)).isEqualTo(message);
      int foretold =
          codec.messageBytes(bare) + payloads().stream().mapToInt(codec::payloadBytes).sum();
      assertThat(datagram.length).isLessThanOrEqualTo(foretold);
    }
  }

  @Property(seed = "20261203")
  void anyBytesAreRefusedWithoutAnotherException(@ForAll byte[] bytes) {
    assertThatThrownBy(() -> codec.decode(bytes)).isInstanceOf(DatagramRefusedException.class);
  }

  @Property(seed = "20261203")
  void authenticGarbageIsRefusedWithoutAnotherException(@ForAll String text) throws Exception {
    byte[] datagram = signed(text.getBytes(StandardCharsets.UTF_8));
    assertThatThrownBy(() -> codec.decode(datagram)).isInstanceOf(DatagramRefusedException.class);
  }

  @Property(seed = "20261203")
  void authenticMessageWithAPartReplacedNeverFailsOtherwise(
      @ForAll @IntRange(min = 0, max = 400) int position, @ForAll byte replacement)
      throws Exception {
    byte[] datagram = codec.encode(message());
    byte[] content = Arrays.copyOfRange(datagram, 16, datagram.length);
    content[position % content.length] = replacement;
    try {
      codec.decode(signed(content));
    } catch (DatagramRefusedException e) {
      assertThat(e.reason()).isEqualTo(DatagramRefusedException.Reason.MALFORMED);
    }
  }

  @Property(seed = "20261203")
  void changedDatagramIsNotAuthentic(
      @ForAll @IntRange(min = 0, max = 400) int position,
      @ForAll @IntRange(min = 1, max = 255) int difference) {
    byte[] datagram = codec.encode(message());
    datagram[position % datagram.length] ^= (byte) difference;
    assertThatThrownBy(() -> codec.decode(datagram))
        .isInstanceOfSatisfying(
            DatagramRefusedException.class,
            refused ->
                assertThat(refused.reason())
                    .isEqualTo(DatagramRefusedException.Reason.NOT_AUTHENTIC));
  }

  private static byte[] signed(byte[] content) throws Exception {
    Mac mac = Mac.getInstance("HmacSHA256");
    mac.init(new SecretKeySpec(KEY, "HmacSHA256"));
    byte[] datagram = Arrays.copyOf(mac.doFinal(content), 16 + content.length);
    System.arraycopy(content, 0, datagram, 16, content.length);
    return datagram;
  }

  private static GossipMessage message() {
    return new GossipMessage(A, 1, 2, new NodeId("b"), 3, 4, new GossipBody.Ping(9), payloads());
  }

  private static List<GossipBody> bodies() {
    return List.of(
        new GossipBody.Ping(5),
        new GossipBody.Ack(6),
        new GossipBody.PingRequest(7, A, ADDRESS),
        new GossipBody.Push(0),
        new GossipBody.SyncRequest("m:a"),
        new GossipBody.SyncPage(""));
  }

  private static List<GossipPayload> payloads() {
    ZoneName zone = new ZoneName("z");
    return List.of(
        new GossipPayload.MemberUpdate(
            A, new RegionName("r"), zone, ADDRESS, ADDRESS, 8, Member.State.LEAVING, 12),
        new GossipPayload.VersionReport(A, 12),
        new GossipPayload.ZoneDigest(zone, A, 4, -99, 12, List.of(A)),
        new GossipPayload.PoolDigestUpdate(
            new PoolId(zone, new ModelName("m"), 0), 3, 9, A, ADDRESS, 1, 2, 300, 4, 5));
  }
}

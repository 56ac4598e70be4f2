package org.fallturn.core.admission;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.fallturn.core.domain.NodeId;

/** Messages between the nodes that use a tenant's limits and the owner of its quota. */
public final class QuotaMessages {

  private QuotaMessages() {}

  /**
   * A node asks an owner for shares, {@code POST /peer/quota/shares}. All keys of one owner travel
   * together.
   *
   * @param holder the node that asks
   * @param number rising with each message of the holder; an owner ignores all but the highest
   * @param shares what it asks for
   */
  public record ShareRequests(
      @JsonProperty("n") NodeId holder,
      @JsonProperty("i") long number,
      @JsonProperty("s") List<ShareRequest> shares) {

    /** A private copy of the list. */
    public ShareRequests {
      shares = List.copyOf(shares);
    }
  }

  /**
   * One key a node asks for.
   *
   * @param key the limit
   * @param holding the share it holds now, after giving back what it does not need
   * @param wanted the share it would like
   */
  public record ShareRequest(
      @JsonProperty("k") QuotaKey key,
      @JsonProperty("h") QuotaAmounts holding,
      @JsonProperty("w") QuotaAmounts wanted) {}

  /**
   * The owner's answer.
   *
   * @param validMillis how long the shares hold, from when the node sent its request
   * @param grants the new shares; a key that is missing was not granted and keeps its former expiry
   */
  public record ShareGrants(
      @JsonProperty("v") long validMillis, @JsonProperty("g") List<ShareGrant> grants) {

    /** A private copy of the list. */
    public ShareGrants {
      grants = List.copyOf(grants);
    }
  }

  /**
   * One share granted or held.
   *
   * @param key the limit
   * @param share the share
   * @param contended whether the fleet asks for more than the limit
   */
  public record ShareGrant(
      @JsonProperty("k") QuotaKey key,
      @JsonProperty("s") QuotaAmounts share,
      @JsonProperty("c") boolean contended) {}

  /**
   * A new owner asks what a node holds, {@code POST /peer/quota/holdings}. A node that answers
   * grants no shares of these tenants itself any more.
   *
   * @param owner the new owner
   * @param tenants the tenants it took over
   */
  public record HoldingsRequest(
      @JsonProperty("o") NodeId owner, @JsonProperty("t") List<String> tenants) {

    /** A private copy of the list. */
    public HoldingsRequest {
      tenants = List.copyOf(tenants);
    }
  }

  /**
   * What a node holds of the tenants asked for; keys without a share are left out.
   *
   * @param holdings the shares that have not expired
   */
  public record Holdings(@JsonProperty("h") List<ShareGrant> holdings) {

    /** A private copy of the list. */
    public Holdings {
      holdings = List.copyOf(holdings);
    }
  }
}

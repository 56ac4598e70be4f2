package org.fallturn.node.callers;

import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import org.eclipse.jetty.server.Request;
import org.fallturn.core.configuration.ServiceRecord;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.idempotency.Claim;
import org.fallturn.core.idempotency.ClaimDecision;
import org.fallturn.core.idempotency.ClaimKeys;
import org.fallturn.core.idempotency.StoredAnswer;
import org.fallturn.node.idempotency.ClaimService;
import org.fallturn.node.idempotency.HeldClaim;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether a request that may not be repeated may run: with an idempotency key only after
 * its claim was granted, without a key at once. Thread-safe.
 */
final class RequestClaims {

  private static final Logger LOG = LoggerFactory.getLogger(RequestClaims.class);
  private static final long EXPIRY_GRACE_MILLIS = 5_000;

  private final ClaimService claims;
  private final NodeId node;

  RequestClaims(ClaimService claims, NodeId node) {
    this.claims = claims;
    this.node = node;
  }

  /** A request that wants to run. */
  record Wish(
      TenantRecord tenant,
      ServiceRecord service,
      Optional<String> idempotencyKey,
      Request request,
      byte[] body,
      long deadlineMillis) {

    private boolean needsClaim() {
      return !service.repeatable() && idempotencyKey.isPresent();
    }
  }

  /** What becomes of a wish. Exactly one method is called, on any thread. */
  interface Verdict {

    /** The request may run; the claim, if any, must be ended. */
    void run(Optional<HeldClaim> claim) throws FallturnException;

    /** An earlier request with the key has this answer. */
    void replay(StoredAnswer answer);

    /** The request does not run. */
    void refuse(FallturnException error);
  }

  /** Settles a wish. */
  void settle(Wish wish, Verdict verdict) {
    if (!wish.needsClaim()) {
      run(verdict, Optional.empty());
      return;
    }
    Claim claim =
        new Claim(
            ClaimKeys.row(
                wish.tenant().tenant(),
                wish.service().service(),
                wish.idempotencyKey().orElseThrow()),
            UUID.randomUUID().toString(),
            node,
            CallerIdentity.bodyHash(wish.request(), wish.body()),
            System.currentTimeMillis() + wish.deadlineMillis() + EXPIRY_GRACE_MILLIS);
    claims.claim(claim).thenAccept(decision -> apply(claim, decision, verdict));
  }

  private void apply(Claim claim, ClaimDecision decision, Verdict verdict) {
    if (decision instanceof ClaimDecision.Granted granted) {
      run(verdict, Optional.of(new HeldClaim(claims, claim, granted.rowVersion())));
    } else if (decision instanceof ClaimDecision.Replay replay) {
      verdict.replay(replay.answer());
    } else {
      verdict.refuse(refusal(decision));
    }
  }

  private static void run(Verdict verdict, Optional<HeldClaim> held) {
    try {
      verdict.run(held);
    } catch (FallturnException e) {
      held.ifPresent(claim -> claim.failed(e.kind().outcome()));
      verdict.refuse(e);
    } catch (RuntimeException e) {
      LOG.error("callers: A request could not be run.", e);
      held.ifPresent(claim -> claim.failed(ErrorKind.INTERNAL.outcome()));
      verdict.refuse(new FallturnException(ErrorKind.INTERNAL, "internal error", e));
    }
  }

  private static FallturnException refusal(ClaimDecision decision) {
    if (decision instanceof ClaimDecision.KeyReused) {
      return new FallturnException(
          ErrorKind.INVALID_REQUEST, "the idempotency key was used for another request");
    }
    if (decision instanceof ClaimDecision.InProgress running) {
      return new FallturnException(
          ErrorKind.IN_PROGRESS,
          "a request with this idempotency key may still be running",
          Duration.ofMillis(running.retryAfterMillis()),
          null);
    }
    if (decision instanceof ClaimDecision.Unknown) {
      return new FallturnException(
          ErrorKind.OUTCOME_UNKNOWN,
          "an earlier request with this idempotency key may have run; its answer is not known");
    }
    return new FallturnException(
        ErrorKind.STORE_UNAVAILABLE, "the claim on the idempotency key could not be written");
  }
}

package org.fallturn.node.callers;

import java.util.List;
import java.util.Optional;
import org.fallturn.core.admission.AdmissionTicket;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.RuleRecord;
import org.fallturn.core.configuration.ServiceRecord;
import org.fallturn.core.configuration.ServiceRecord.ModelTarget;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.PrefixBlocks;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.idempotency.StoredAnswer;
import org.fallturn.core.request.RequestSpec;
import org.fallturn.node.idempotency.HeldClaim;
import org.fallturn.node.json.MalformedMessageException;

/** Serves completions: reads and checks the request, then starts its exchange. Thread-safe. */
final class CompletionsHandler {

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int DEFAULT_MAX_TOKENS = 256;

  private final CallerServices services;

  CompletionsHandler(CallerServices services) {
    this.services = services;
  }

  /** One call in progress, with what is known of it before its body was read. */
  private record Call(
      CallerRequest caller, CompletionStyle style, CallerHeaders headers, TenantRecord tenant) {}

  /** Handles one call of either path. */
  void handle(CompletionStyle style, CallerRequest caller) throws FallturnException {
    CallerHeaders headers = CallerHeaders.read(caller.request().getHeaders());
    ConfigurationImage image = services.configuration().get();
    TenantRecord tenant = CallerIdentity.authenticate(image, caller.request().getHeaders());
    Call call = new Call(caller, style, headers, tenant);
    BodyReader.read(
        caller.request(),
        services,
        body -> start(call, body),
        error -> services.refuse(caller, error));
  }

  private void start(Call call, byte[] body) throws FallturnException {
    CompletionCall completion = parse(call.style(), body);
    ConfigurationImage image = services.configuration().get();
    ServiceName name = new ServiceName(completion.model());
    ServiceRecord service = CallerIdentity.service(image, name);
    RuleRecord rule = CallerIdentity.authorize(image, call.tenant(), name);
    if (!(service.target() instanceof ModelTarget target)) {
      throw new FallturnException(ErrorKind.NOT_FOUND, "service " + name + " is not a model");
    }
    RequestSpec spec = spec(call, completion, service, target, rule);
    long deadlineMillis = call.headers().deadlineMillisFor(service);
    RequestClaims.Wish wish =
        new RequestClaims.Wish(
            call.tenant(),
            service,
            call.headers().idempotencyKey(),
            call.caller().request(),
            body,
            deadlineMillis);
    CallerAdmission.admit(
        services,
        call.caller(),
        spec.tenant(),
        spec.service(),
        (long) spec.promptTokens() + spec.maxTokens(),
        ticket ->
            services
                .claims()
                .settle(wish, new Start(call, completion, spec, deadlineMillis, ticket)));
  }

  /** Starts the exchange once its claim, if it needs one, is settled. */
  private final class Start implements RequestClaims.Verdict {

    private final Call call;
    private final CompletionCall completion;
    private final RequestSpec spec;
    private final long deadlineMillis;
    private final AdmissionTicket ticket;

    Start(
        Call call,
        CompletionCall completion,
        RequestSpec spec,
        long deadlineMillis,
        AdmissionTicket ticket) {
      this.call = call;
      this.completion = completion;
      this.spec = spec;
      this.deadlineMillis = deadlineMillis;
      this.ticket = ticket;
    }

    @Override
    public void run(Optional<HeldClaim> claim) throws FallturnException {
      long startNanos = call.caller().startNanos();
      SerialExecutor executor = new SerialExecutor();
      ModelExchange exchange =
          new ModelExchange(
              services,
              spec,
              executor,
              ticket,
              startNanos,
              startNanos + deadlineMillis * NANOS_PER_MILLI);
      exchange.start(sink(executor, exchange, claim));
      call.caller().connection().onFailure(exchange::onCallerFailure);
    }

    private AnswerSink sink(
        SerialExecutor executor, ModelExchange exchange, Optional<HeldClaim> claim) {
      CallerRequest caller = call.caller();
      long createdSeconds = System.currentTimeMillis() / MILLIS_PER_SECOND;
      CompletionFormat format =
          new CompletionFormat(call.style(), spec.requestId(), spec.service(), createdSeconds);
      int promptTokens = spec.promptTokens();
      AnswerSink answer =
          completion.stream()
              ? new StreamedAnswer(caller, format, services, executor, exchange)
              : new WholeAnswer(caller, format, services.answers(), promptTokens);
      return claim
          .<AnswerSink>map(
              held -> new RecordedAnswer(answer, held, format, completion.stream(), promptTokens))
          .orElse(answer);
    }

    @Override
    public void replay(StoredAnswer answer) {
      ticket.finished(0);
      services.replay(call.caller(), answer);
    }

    @Override
    public void refuse(FallturnException error) {
      ticket.finished(0);
      services.refuse(call.caller(), error);
    }
  }

  private RequestSpec spec(
      Call call,
      CompletionCall completion,
      ServiceRecord service,
      ModelTarget target,
      RuleRecord rule)
      throws FallturnException {
    TenantRecord tenant = call.tenant();
    String scope = rule.cacheScope().isEmpty() ? tenant.tenant().value() : rule.cacheScope();
    List<String> tokens = PrefixBlocks.tokens(completion.prompt());
    return new RequestSpec(
        call.caller().requestId(),
        tenant.tenant(),
        tenant.shareWeight(),
        service.service(),
        target.model(),
        target.adapter(),
        scope,
        call.headers().urgencyUpTo(rule.maxUrgency()),
        completion.prompt(),
        tokens.size(),
        PrefixBlocks.hashes(scope, tokens),
        maxTokens(completion.maxTokens()),
        service.repeatable(),
        services.settings().maxAttempts());
  }

  private int maxTokens(Integer asked) throws FallturnException {
    int most = services.settings().maxOutputTokens();
    if (asked == null) {
      return Math.min(DEFAULT_MAX_TOKENS, most);
    }
    if (asked < 1 || asked > most) {
      throw new FallturnException(ErrorKind.INVALID_REQUEST, "max_tokens must be 1 to " + most);
    }
    return asked;
  }

  private CompletionCall parse(CompletionStyle style, byte[] body) throws FallturnException {
    try {
      return style == CompletionStyle.CHAT
          ? services.codec().decode(body, ChatBody.class).toCall()
          : services.codec().decode(body, CompletionBody.class).toCall();
    } catch (MalformedMessageException e) {
      throw new FallturnException(ErrorKind.INVALID_REQUEST, e.getMessage(), e);
    }
  }
}

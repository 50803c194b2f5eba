package balance

// Tenant quotas: a request over the quota of its tenant loses part of its priority weight.

const millisPerSecond = 1000

// tenantQuotas holds a token bucket for each tenant.
type tenantQuotas struct {
	tokens []float64
}

// resize replaces all token buckets by full ones if the number of tenants has changed.
func (q *tenantQuotas) resize(cfg *Config) {
	if len(cfg.TenantQuota) == len(q.tokens) {
		return
	}
	q.tokens = nil
	for _, quota := range cfg.TenantQuota {
		q.tokens = append(q.tokens, quota/float64(max(1, cfg.Replicas)))
	}
}

// tenantWeightFactor takes a token for a request of a tenant. It returns the fraction of its priority weight
// that the request keeps: OverQuotaWeight if there is no token left, else 1.
func (b *Balancer) tenantWeightFactor(tenant int) float64 {
	tokens := b.tenants.tokens
	if tenant >= len(tokens) || b.settings.TenantQuota[tenant] <= 0 {
		return 1
	}
	if tokens[tenant] < 1 {
		return b.settings.OverQuotaWeight
	}
	tokens[tenant]--
	return 1
}

// refillTenantTokens adds the tokens for the elapsed time to each token bucket.
// A bucket holds at most the tokens of one second, or one token if that is more.
func (b *Balancer) refillTenantTokens(elapsed Millis) {
	for tenant, tokens := range b.tenants.tokens {
		perSecond := b.settings.TenantQuota[tenant] / b.replicas()
		b.tenants.tokens[tenant] = min(max(1, perSecond), tokens+perSecond*elapsed/millisPerSecond)
	}
}

package quarantine

import "strconv"

// FormatFingerprint returns the fingerprint of a request as it is logged.
func FormatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// LogFields returns the verdict and the evidence for it as they are logged.
func (v Verdict) LogFields() map[string]any {
	source := v.Source
	if source == "" {
		source = "own"
	}
	return map[string]any{
		"decision": v.Decision.String(), "crashes": v.Crashes, "test-run-crashes": v.TestRuns, "evidence-from": source,
		"evidence-age-ms": v.Age.Milliseconds(), "wait-ms": v.Wait.Milliseconds(),
	}
}

package setup

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"

	"github.com/greengagewind/greengagewind/gage"
)

// The rules that a problem states for a value that is not allowed.
const (
	vmRule               = "must be 1 to 64 letters, digits, '_' or '-', beginning with a letter or digit; a dot is not allowed"
	addressRule          = "must be an IP number and a port above 0 in a string, such as \"10.0.0.7:7001\""
	reachableAddressRule = addressRule + ", and an IP number that other machines can reach"
	endpointListRule     = "must be a list of one to 16 URLs in strings, each http:// or https:// with a host and a port, such as \"http://10.0.0.2:2379\""
	addressListRule      = "must be a list of at most 16 addresses in strings, each an IP number and a port"
)

// maxListLength is the maximum length of the lists of addresses and endpoints.
const maxListLength = 16

var (
	vmPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$`)
	policies  = []string{
		string(gage.PolicyAdaptive), string(gage.PolicyFixed), string(gage.PolicyNone), string(gage.PolicyQueueDelay),
	}
	logLevels = []string{"debug", "info", "warn", "error"}
	exporters = []string{string(ExporterNone), string(ExporterFile), string(ExporterOTLPHTTP)}
)

func (p *parser) vmName(value any) string {
	name, ok := value.(string)
	if !ok || !vmPattern.MatchString(name) {
		p.Refuse("VM", vmRule)
	}
	return name
}

func (p *parser) address(key string, value any) string {
	text, _ := value.(string)
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || parsed.Port() == 0 {
		p.Refuse(key, addressRule)
		return ""
	}
	return text
}

// reachableAddress checks an address that is published to other machines. It
// refuses an unspecified IP address, such as 0.0.0.0, to which they cannot connect.
func (p *parser) reachableAddress(key string, value any) string {
	text, _ := value.(string)
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		p.Refuse(key, reachableAddressRule)
		return ""
	}
	return text
}

func (p *parser) addressList(key string, value any) []string {
	list := p.List(key, value, addressListRule)
	if len(list) > maxListLength {
		p.Refuse(key, addressListRule)
		return nil
	}
	var addresses []string
	for i, element := range list {
		addresses = append(addresses, p.reachableAddress(fmt.Sprintf("%s[%d]", key, i), element))
	}
	return addresses
}

func (p *parser) endpointList(key string, value any) []string {
	list, ok := value.([]any)
	if !ok || len(list) == 0 || len(list) > maxListLength {
		p.Refuse(key, endpointListRule)
		return nil
	}
	var endpoints []string
	for i, element := range list {
		endpoint, isText := element.(string)
		if !isText || !validEndpoint(endpoint) {
			p.Refuse(fmt.Sprintf("%s[%d]", key, i), endpointListRule)
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

func validEndpoint(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return false
	}
	return validHostPort(parsed.Host) && parsed.User == nil && text == parsed.Scheme+"://"+parsed.Host
}

func (p *parser) hostPort(key string, value any) string {
	text, _ := value.(string)
	if !validHostPort(text) {
		p.Refuse(key, "must be a host and a port in a string, such as \"10.0.0.9:4318\"")
	}
	return text
}

func validHostPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

func (p *parser) fileName(key string, value any) string {
	text, ok := value.(string)
	if !ok || text == "" {
		p.Refuse(key, "must be the path of a file in a string")
	}
	return text
}

// checkDistinctAddresses refuses settings in which two listeners have the same
// address.
func (p *parser) checkDistinctAddresses(s Settings) {
	keyByAddress := make(map[string]string)
	for _, listener := range []struct{ key, address string }{
		{"CallerAddress", s.CallerAddress},
		{"TargetAddress", s.TargetAddress},
		{"PeerAddress", s.PeerAddress},
		{"OperatorAddress", s.OperatorAddress},
	} {
		if listener.address != "" {
			p.Unique(keyByAddress, listener.key, listener.address)
		}
	}
}
